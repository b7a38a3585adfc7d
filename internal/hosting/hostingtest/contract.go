// Package hostingtest contains the contract tests of package hosting, which
// every implementation of its interfaces must pass.
package hostingtest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/model"
)

// Store checks an empty store against the contract. It must run in a bubble of
// package testing/synctest because it waits for leases and watches.
func Store(t *testing.T, s hosting.Store) {
	t.Helper()
	for _, c := range []struct {
		name  string
		check func(t *testing.T, ctx context.Context, s hosting.Store)
	}{
		{"writes are conditional", conditionalWrites},
		{"revisions increase", revisionsGrow},
		{"deletes are conditional", conditionalDeletes},
		{"listing is by prefix and sorted", listing},
		{"an expired lease deletes its keys", leases},
		{"a revoked lease deletes its keys", revoke},
		{"one of several concurrent writers succeeds", race},
		{"a watch returns each change once", watch},
		{"a watch without changes ends", watchEnds},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		c.check(t, ctx, s)
		cancel()
		t.Logf("%s: passed", c.name)
	}
}

func conditionalWrites(t *testing.T, ctx context.Context, s hosting.Store) {
	_, err := s.Get(ctx, "cw/a")
	require.ErrorIs(t, err, hosting.ErrNotFound)
	_, err = s.Put(ctx, "cw/a", []byte("x"), 7, "")
	require.ErrorIs(t, err, hosting.ErrConflict, "the key does not exist")
	rev, err := s.Put(ctx, "cw/a", []byte("1"), 0, "")
	require.NoError(t, err)
	_, err = s.Put(ctx, "cw/a", []byte("2"), 0, "")
	require.ErrorIs(t, err, hosting.ErrConflict, "the key exists")
	_, err = s.Put(ctx, "cw/a", []byte("2"), rev, "")
	require.NoError(t, err)
	_, err = s.Put(ctx, "cw/a", []byte("3"), rev, "")
	require.ErrorIs(t, err, hosting.ErrConflict, "the revision is old")
	e, err := s.Get(ctx, "cw/a")
	require.NoError(t, err)
	require.Equal(t, "2", string(e.Value))
}

func revisionsGrow(t *testing.T, ctx context.Context, s hosting.Store) {
	var last hosting.Revision
	for i := range 5 {
		rev, err := s.Put(ctx, fmt.Sprintf("rg/%d", i), nil, 0, "")
		require.NoError(t, err)
		require.Greater(t, rev, last)
		last = rev
	}
}

func conditionalDeletes(t *testing.T, ctx context.Context, s hosting.Store) {
	rev, err := s.Put(ctx, "cd/a", []byte("1"), 0, "")
	require.NoError(t, err)
	require.ErrorIs(t, s.Delete(ctx, "cd/a", rev+100), hosting.ErrConflict)
	require.NoError(t, s.Delete(ctx, "cd/a", rev))
	require.ErrorIs(t, s.Delete(ctx, "cd/a", rev), hosting.ErrNotFound)
	again, err := s.Put(ctx, "cd/a", []byte("2"), 0, "")
	require.NoError(t, err)
	require.Greater(t, again, rev, "a recreated key does not reuse an old revision")
}

func listing(t *testing.T, ctx context.Context, s hosting.Store) {
	for _, key := range []string{"l/b", "l/a", "lx/c"} {
		_, err := s.Put(ctx, key, []byte(key), 0, "")
		require.NoError(t, err)
	}
	entries, rev, err := s.List(ctx, "l/")
	require.NoError(t, err)
	require.Len(t, entries, 2)
	require.Equal(t, "l/a", entries[0].Key)
	require.Equal(t, "l/b", string(entries[1].Value))
	require.GreaterOrEqual(t, rev, entries[1].Revision)
}

func leases(t *testing.T, ctx context.Context, s hosting.Store) {
	id, err := s.Grant(ctx, 2*time.Second)
	require.NoError(t, err)
	rev, err := s.Put(ctx, "le/a", []byte("1"), 0, id)
	require.NoError(t, err)
	time.Sleep(1500 * time.Millisecond)
	require.NoError(t, s.Renew(ctx, id))
	time.Sleep(1500 * time.Millisecond)
	e, err := s.Get(ctx, "le/a")
	require.NoError(t, err, "a renewed lease keeps its keys")
	require.Equal(t, id, e.Lease)
	time.Sleep(time.Second)
	_, err = s.Get(ctx, "le/a")
	require.ErrorIs(t, err, hosting.ErrNotFound)
	require.ErrorIs(t, s.Renew(ctx, id), hosting.ErrLeaseGone)
	_, err = s.Put(ctx, "le/b", nil, 0, id)
	require.ErrorIs(t, err, hosting.ErrLeaseGone)
	_, err = s.Put(ctx, "le/a", []byte("2"), rev, "")
	require.ErrorIs(t, err, hosting.ErrConflict, "an expired key has no revision")
}

func revoke(t *testing.T, ctx context.Context, s hosting.Store) {
	id, err := s.Grant(ctx, time.Hour)
	require.NoError(t, err)
	_, err = s.Put(ctx, "re/a", nil, 0, id)
	require.NoError(t, err)
	require.NoError(t, s.Revoke(ctx, id))
	_, err = s.Get(ctx, "re/a")
	require.ErrorIs(t, err, hosting.ErrNotFound)
}

func race(t *testing.T, ctx context.Context, s hosting.Store) {
	rev, err := s.Put(ctx, "ra/a", nil, 0, "")
	require.NoError(t, err)
	const writers = 8
	errs := make([]error, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, errs[i] = s.Put(ctx, "ra/a", []byte{byte(i)}, rev, "")
		}()
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
		} else {
			require.ErrorIs(t, err, hosting.ErrConflict)
		}
	}
	require.Equal(t, 1, won)
}

func watch(t *testing.T, ctx context.Context, s hosting.Store) {
	_, after, err := s.List(ctx, "wa/")
	require.NoError(t, err)
	go func() {
		time.Sleep(time.Second)
		rev, _ := s.Put(ctx, "wa/a", []byte("1"), 0, "")
		_, _ = s.Put(ctx, "other", nil, 0, "")
		_ = s.Delete(ctx, "wa/a", rev)
	}()
	var seen []hosting.Event
	for len(seen) < 2 {
		events, next, err := s.Watch(ctx, "wa/", after, 5*time.Second)
		require.NoError(t, err)
		seen = append(seen, events...)
		if len(events) > 0 {
			require.GreaterOrEqual(t, next, events[len(events)-1].Revision)
		}
		after = next
	}
	require.Len(t, seen, 2)
	require.Equal(t, "1", string(seen[0].Value))
	require.True(t, seen[1].Deleted)
}

func watchEnds(t *testing.T, ctx context.Context, s hosting.Store) {
	_, after, err := s.List(ctx, "none/")
	require.NoError(t, err)
	started := time.Now()
	events, _, err := s.Watch(ctx, "none/", after, 2*time.Second)
	require.NoError(t, err)
	require.Empty(t, events)
	require.InDelta(t, 2.0, time.Since(started).Seconds(), 0.5)
}

// VMList checks a list that contains exactly the VMs of want against the
// contract.
func VMList(t *testing.T, l hosting.VMList, want []model.VM) {
	t.Helper()
	list, version, err := l.VMs(t.Context(), "")
	require.NoError(t, err)
	require.Equal(t, want, list)
	require.NotEmpty(t, version)
	list, again, err := l.VMs(t.Context(), version)
	require.NoError(t, err)
	require.Nil(t, list, "an unchanged list is not sent again")
	require.Equal(t, version, again)
}
