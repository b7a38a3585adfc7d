//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

// maxValueBytes is the largest value that the store takes, platform.value_bytes of the settings.
const maxValueBytes = 1 << 20

// txn is a write to the store.
type txn struct {
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"set_keys"`
}

// store is the project's own stand-in of the platform's store, with the largest size of a
// value.
type store struct {
	store  *platformtest.Store
	record *record

	mu sync.Mutex
	// largest is the size of the largest value that was accepted for each kind of key.
	largest  map[string]int
	rejected int
}

// earlierWrites is the revision of the store when the case begins: that of some days with a write
// every few hundred milliseconds.
const earlierWrites = 1_000_000

func newStore(r *record) *store {
	s := &store{store: platformtest.NewStore(), record: r, largest: map[string]int{}}
	for i := range earlierWrites {
		if s.store.Put("status/earlier", nil); i%10_000 == 0 {
			s.store.Compact()
		}
	}
	s.store.Compact()
	return s
}

// put writes as the operator and the workers do.
func (s *store) put(key string, value []byte) { s.store.Put(key, value) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var t txn
	if r.URL.Path == "/-/kv-txn" && json.Unmarshal(raw, &t) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	if !s.checkSizes(&t) {
		reply(rw, http.StatusBadRequest, map[string]string{"error": "a value is too large"})
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	s.store.ServeHTTP(rw, r)
}

// checkSizes reports whether all values of a write are small enough.
func (s *store) checkSizes(t *txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range t.SetKeys {
		kind, _, _ := strings.Cut(t.SetKeys[i].Key, "/")
		size := len(t.SetKeys[i].Value)
		if size > maxValueBytes {
			if s.rejected++; s.rejected <= 3 {
				s.record.logf("store: rejects a write: the value of %s has %d bytes, at most %d are allowed", t.SetKeys[i].Key, size, maxValueBytes)
			}
			return false
		}
		if size > 2*s.largest[kind] && size > 10_000 {
			s.largest[kind] = size
			s.record.logf("store: takes a value of %d bytes for %s", size, t.SetKeys[i].Key)
		}
	}
	return true
}
