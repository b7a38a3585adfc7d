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

// On a narrow link most of a leader's traffic would be payloads, each sent once to each
// relay. There the leader sends a payload to one relay only, the holder, and the other relays
// fetch it from the holder. If a relay cannot fetch it, the start is refused and the leader
// sends the payload itself.

const (
	// PayloadPath is the URL path at which each process serves its stored payloads to other relays.
	PayloadPath = "/relay/payload"
	// jobParameter is the query parameter for the ID of the payload's job.
	jobParameter = "job"
	// fetchTimeout bounds a fetch of a payload from another relay; a start times out after
	// half a second. holderTimeout is how long the holder waits for the payload to arrive
	// from the leader.
	fetchTimeout  = 400 * time.Millisecond
	holderTimeout = 300 * time.Millisecond
	// maxPayloadBytes bounds the size of a compressed payload fetched from another relay.
	maxPayloadBytes = 4 << 20
)

// payloadStore holds the payloads that a relay has received. It outlives the leader's stream, so
// that the next leader need not send them again.
type payloadStore struct {
	mu    sync.Mutex
	texts map[string]string
	// fetches holds, by job, a channel that is closed when the fetch of the payload ends.
	fetches map[string]chan struct{}
	// changed is closed when a payload is stored; nil while there are no waiters.
	changed chan struct{}
}

// hashes returns the jobs and hashes of all stored payloads.
func (s *payloadStore) hashes() []kept {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]kept, 0, len(s.texts))
	for job, text := range s.texts {
		list = append(list, kept{Job: job, Hash: hashPayload(text)})
	}
	return list
}

func (s *payloadStore) put(job, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.texts == nil {
		s.texts = map[string]string{}
	}
	s.texts[job] = text
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *payloadStore) drop(jobs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range jobs {
		delete(s.texts, job)
	}
}

// get returns a job's payload if it is stored. While the payload is being fetched from another
// relay, the returned channel is non-nil and is closed when the fetch ends.
func (s *payloadStore) get(job string) (text string, found bool, fetched <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, found = s.texts[job]
	return text, found, s.fetches[job]
}

// await waits for a job's payload to be stored; ok is false if ctx ends first.
func (s *payloadStore) await(ctx context.Context, job string) (text string, ok bool) {
	for {
		s.mu.Lock()
		text, ok = s.texts[job]
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
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

// beginFetch records that a payload is being fetched. The caller calls finish when the fetch ends.
func (s *payloadStore) beginFetch(job string) (finish func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetches == nil {
		s.fetches = map[string]chan struct{}{}
	}
	// A stored payload belongs to an earlier job with the same ID.
	delete(s.texts, job)
	done := make(chan struct{})
	s.fetches[job] = done
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.fetches[job] == done {
			delete(s.fetches, job)
		}
		close(done)
	}
}

// storePayloads stores the payloads of a message, and starts to fetch those that another relay holds.
func (s *Server) storePayloads(ctx context.Context, list []payload) {
	for _, p := range list {
		if p.From != "" {
			finish := s.payloads.beginFetch(p.Job)
			go func() {
				defer finish()
				s.fetchPayload(ctx, p)
			}()
			continue
		}
		text, err := decompressPayload(p.Packed)
		if err != nil {
			// Starts of the job are refused because its payload is missing.
			s.Log.Warn("payload_unreadable", err, eventlog.Fields{"job": p.Job})
			continue
		}
		s.payloads.put(p.Job, text)
	}
}

// errPayloadMismatch is returned if the holder's payload belongs to another job with the same ID.
var errPayloadMismatch = errors.New("the payload fetched from the holder does not match the job's hash")

// fetchPayload fetches a payload from its holder, verifies its hash and stores it.
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
	compressed, err := io.ReadAll(io.LimitReader(resp.Body, maxPayloadBytes))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.Newf("the holder responded with status %s", resp.Status)
	}
	return decompressPayload(compressed)
}

// ServePayload serves a stored payload in compressed form. If the payload has not arrived yet, it
// waits for it up to holderTimeout.
func (s *Server) ServePayload(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), holderTimeout)
	defer cancel()
	job := r.URL.Query().Get(jobParameter)
	text, ok := s.payloads.await(ctx, job)
	if !ok {
		http.Error(w, "no such payload", http.StatusNotFound)
		return
	}
	compressed, err := compressPayload(text)
	if err != nil {
		s.Log.Warn("payload_not_served", err, eventlog.Fields{"job": job})
		http.Error(w, "the payload can't be packed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(compressed)
}
