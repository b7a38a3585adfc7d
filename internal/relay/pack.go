package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
	"sync"
)

// payloadCache compresses payloads, each once for all relays.
type payloadCache struct {
	// mu is taken before that of a stream.
	mu         sync.Mutex
	compressed map[string][]byte
	// holders are the relays from which others fetch a job's payload.
	holders map[string]*stream
}

// maxCachedPayloads bounds the payloads that are kept compressed: those of the jobs of ten
// seconds or so. They are compressed anew when all were dropped.
const maxCachedPayloads = 512

// compress returns a job's payload, compressed.
func (p *payloadCache) compress(job, text string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.compressed[job]; ok {
		return packed, nil
	}
	packed, err := compressPayload(text)
	if err != nil {
		return nil, err
	}
	if p.compressed == nil || len(p.compressed) >= maxCachedPayloads {
		p.compressed = map[string][]byte{}
	}
	p.compressed[job] = packed
	return packed, nil
}

// holderFor returns the address of the relay from which s is to fetch the job's payload, or ""
// where the leader sends it: s is the first that needs it, or the one before can't give it.
func (p *payloadCache) holderFor(job string, s *stream) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.holders[job]
	switch {
	case held == s:
		return ""
	case held != nil && held.canServePayloads():
		return held.offer.Address
	case !s.canServePayloads():
		return ""
	}
	if p.holders == nil || len(p.holders) >= maxCachedPayloads {
		p.holders = map[string]*stream{}
	}
	p.holders[job] = s
	return ""
}

// fetchFailed notes that a relay could not fetch a payload from its holder: for a while that
// one holds none.
func (p *payloadCache) fetchFailed(job string, from string) {
	p.mu.Lock()
	held := p.holders[job]
	p.mu.Unlock()
	if held != nil && held.offer.Address == from {
		held.stopServingPayloads()
	}
}

func compressPayload(text string) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.HuffmanOnly)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompressPayload returns the text of a payload.
func decompressPayload(packed []byte) (string, error) {
	var text strings.Builder
	r := flate.NewReader(bytes.NewReader(packed))
	if _, err := io.Copy(&text, r); err != nil {
		return "", err
	}
	return text.String(), r.Close()
}
