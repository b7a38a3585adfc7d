package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/eventlog"
)

// On a narrow link most of what a leader writes is payloads, each once to each relay. There
// a leader sends a payload to one relay, the holder, and the others fetch it from there.
// Where they can't, the start is refused, and the leader sends them the payload itself.

const (
	// PayloadPath is where each process serves the payloads that it keeps to other relays.
	PayloadPath = "/relay/payload"
	// jobParameter names the job whose payload is asked for.
	jobParameter = "job"
	// fetchTimeout bounds the wait for a payload from another relay: a start is given up after
	// half a second. The holder waits for it to come from the leader for holderTimeout.
	fetchTimeout  = 400 * time.Millisecond
	holderTimeout = 300 * time.Millisecond
	// maxPayloadBytes bounds a packed payload that is read.
	maxPayloadBytes = 4 << 20
)

// payloadStore are the payloads that a relay has, for this leader and the next.
type payloadStore struct {
	mu    sync.Mutex
	texts map[string]string
	// fetches are closed once the fetch of a payload from another relay is over.
	fetches map[string]chan struct{}
	// changed is closed when a payload has come.
	changed chan struct{}
}

// hashes names what is kept.
func (k *payloadStore) hashes() []kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]kept, 0, len(k.texts))
	for job, text := range k.texts {
		list = append(list, kept{Job: job, Hash: hashPayload(text)})
	}
	return list
}

func (k *payloadStore) put(job, text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.texts == nil {
		k.texts = map[string]string{}
	}
	k.texts[job] = text
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
}

func (k *payloadStore) drop(jobs []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, job := range jobs {
		delete(k.texts, job)
	}
}

// get returns a job's payload, or, while it is fetched from another relay, what is closed
// when that is over.
func (k *payloadStore) get(job string) (text string, known bool, awaited <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	text, known = k.texts[job]
	return text, known, k.fetches[job]
}

// await returns a job's payload once it has come; ok is false if it does not before ctx ends.
func (k *payloadStore) await(ctx context.Context, job string) (text string, ok bool) {
	for {
		k.mu.Lock()
		text, ok = k.texts[job]
		if k.changed == nil {
			k.changed = make(chan struct{})
		}
		changed := k.changed
		k.mu.Unlock()
		if ok {
			return text, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-changed:
		}
	}
}

// beginFetch notes that a payload is being fetched; over is to be called when that has ended.
func (k *payloadStore) beginFetch(job string) (over func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fetches == nil {
		k.fetches = map[string]chan struct{}{}
	}
	// One that is here is of another job that had the ID once.
	delete(k.texts, job)
	done := make(chan struct{})
	k.fetches[job] = done
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.fetches[job] == done {
			delete(k.fetches, job)
		}
		close(done)
	}
}

// storePayloads notes the payloads that a message tells, and fetches those that another relay holds.
func (s *Server) storePayloads(ctx context.Context, list []payload) {
	for _, p := range list {
		if p.From != "" {
			over := s.payloads.beginFetch(p.Job)
			go func() {
				defer over()
				s.fetchPayload(ctx, p)
			}()
			continue
		}
		text, err := decompressPayload(p.Packed)
		if err != nil {
			// Starts of the job are refused: its payload is not known.
			s.Log.Warn("payload_unreadable", err, eventlog.Fields{"job": p.Job})
			continue
		}
		s.payloads.put(p.Job, text)
	}
}

// errPayloadMismatch: the holder has a payload of that ID, and it is not the job's.
var errPayloadMismatch = errors.New("the holder has another payload under that ID")

// fetchPayload fetches a payload from its holder.
func (s *Server) fetchPayload(ctx context.Context, p payload) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	text, err := s.requestPayload(ctx, p)
	if err == nil && hashPayload(text) != p.Hash {
		err = errPayloadMismatch
	}
	if err != nil {
		s.Log.Warn("payload_not_had", err, eventlog.Fields{"job": p.Job, "from": p.From})
		return
	}
	s.payloads.put(p.Job, text)
}

func (s *Server) requestPayload(ctx context.Context, p payload) (string, error) {
	query := url.Values{jobParameter: {p.Job}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.From+PayloadPath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return "", err
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	packed, err := io.ReadAll(io.LimitReader(resp.Body, maxPayloadBytes))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.Newf("the holder answers %s", resp.Status)
	}
	return decompressPayload(packed)
}

// ServePayload serves a payload that this process keeps, or is about to get, packed.
func (s *Server) ServePayload(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), holderTimeout)
	defer cancel()
	job := r.URL.Query().Get(jobParameter)
	text, ok := s.payloads.await(ctx, job)
	if !ok {
		http.Error(w, "no such payload", http.StatusNotFound)
		return
	}
	packed, err := compressPayload(text)
	if err != nil {
		s.Log.Warn("payload_not_served", err, eventlog.Fields{"job": job})
		http.Error(w, "the payload can't be packed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(packed)
}
