package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
	"sync"
)

// payloadCache compresses each payload once for all relays, and selects a holder for it.
type payloadCache struct {
	// mu is locked before a stream's mu.
	mu         sync.Mutex
	compressed map[string][]byte
	// holders maps jobs to the relay from which other relays fetch the payload.
	holders map[string]*stream
}

// maxCachedPayloads bounds the compressed payloads in the cache, which correspond to the jobs
// of about ten seconds. When the cache is full it is emptied, and payloads still needed are
// compressed again.
const maxCachedPayloads = 512

// compress returns a job's payload in compressed form.
func (p *payloadCache) compress(job, text string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if compressed, ok := p.compressed[job]; ok {
		return compressed, nil
	}
	compressed, err := compressPayload(text)
	if err != nil {
		return nil, err
	}
	if p.compressed == nil || len(p.compressed) >= maxCachedPayloads {
		p.compressed = map[string][]byte{}
	}
	p.compressed[job] = compressed
	return compressed, nil
}

// holderFor returns the address of the relay from which s is to fetch the job's payload. It
// returns "" if the leader has to send the payload: s is the first relay that needs it, or the
// previous holder cannot serve it.
func (p *payloadCache) holderFor(job string, s *stream) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	holder := p.holders[job]
	switch {
	case holder == s:
		return ""
	case holder != nil && holder.canServePayloads():
		return holder.offer.Address
	case !s.canServePayloads():
		return ""
	}
	if p.holders == nil || len(p.holders) >= maxCachedPayloads {
		p.holders = map[string]*stream{}
	}
	p.holders[job] = s
	return ""
}

// fetchFailed records that a relay could not fetch a payload from its holder, which then
// serves no payloads for payloadBackoff.
func (p *payloadCache) fetchFailed(job string, from string) {
	p.mu.Lock()
	holder := p.holders[job]
	p.mu.Unlock()
	if holder != nil && holder.offer.Address == from {
		holder.stopServingPayloads()
	}
}

// compressPayload compresses a payload's text with Huffman coding only.
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

// decompressPayload reverses compressPayload.
func decompressPayload(compressed []byte) (string, error) {
	var text strings.Builder
	r := flate.NewReader(bytes.NewReader(compressed))
	if _, err := io.Copy(&text, r); err != nil {
		return "", err
	}
	return text.String(), r.Close()
}
