//go:build review

package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// losingStore stands in front of the store. While it loses answers, a share of the transactions is
// not answered and carried out later, if their conditions still hold.
type losingStore struct {
	store http.Handler
	r     *record

	mu    sync.Mutex
	share float64
	late  time.Duration
	lost  int
}

func (s *losingStore) serve() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, s) }()
	return ln.Addr().String(), nil
}

// lose sets the share of the transactions that are lost, and how much later they are carried out.
func (s *losingStore) lose(share float64, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share, s.late = share, late
}

// ServeHTTP implements http.Handler.
func (s *losingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isLost, late := r.URL.Path == "/-/kv-txn" && rand.Float64() < s.share, s.late
	if isLost {
		s.lost++
	}
	s.mu.Unlock()
	if !isLost {
		s.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.AfterFunc(late, func() {
		again := httptest.NewRequest(http.MethodPost, "http://store/-/kv-txn", bytes.NewReader(body))
		s.store.ServeHTTP(httptest.NewRecorder(), again)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
