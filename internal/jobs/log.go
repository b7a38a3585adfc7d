package jobs

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/pause"
)

// A shard is stored as a snapshot and a ring of log entries:
//
//	jobs/<shard>/snap      the state after entry Sequence
//	jobs/<shard>/log/<nn>  entry Sequence, at nn = Sequence mod ringSize
//
// An entry is written on condition that its ring slot still has the revision that the
// writer last saw. If two nodes both consider themselves leader, one of them fails at
// its next entry, regardless of their clocks: the ring acts as the fence. A new
// leader first writes an OpLead entry, after which no write of the old leader can
// succeed.
//
// Alternatives considered: one value per shard rewritten whole costs the whole state
// per commit; one key per job costs a write per job and gives no order among jobs.
// docs/design/003-jobs.md has the measurements.
const (
	ringSize = 64
	// minSnapshotBytes is the size of log entries up to which a snapshot is not
	// worthwhile unless the ring is nearly full.
	minSnapshotBytes = 16 << 10
	logCallTimeout   = 2 * time.Second
	// commitRetryDelay is the delay between two attempts to write the same entry.
	commitRetryDelay = 200 * time.Millisecond
)

// entry is one element of the log. The nonce identifies the writer's own entry.
type entry struct {
	Sequence int64  `cbor:"1,keyasint"`
	Nonce    []byte `cbor:"2,keyasint"`
	Ops      []Op   `cbor:"3,keyasint"`
}

// snapshot is the state after the entry Sequence.
type snapshot struct {
	Sequence int64  `cbor:"1,keyasint"`
	State    *State `cbor:"2,keyasint"`
}

// ErrSuperseded is returned when another node has written to the shard since this one
// read it.
var ErrSuperseded = errors.New("another node leads the shard")

// log reads and writes one shard's snapshot and entries.
type log struct {
	store    hosting.Store
	prefix   string
	sequence int64
	snapSeq  int64
	snapRev  hosting.Revision
	snapSize int
	// pending is the size in bytes of the entries since the snapshot.
	pending   int
	revisions [ringSize]hosting.Revision
}

func (l *log) snapKey() string { return l.prefix + "snap" }

func (l *log) entryKey(sequence int64) string {
	return fmt.Sprintf("%slog/%02d", l.prefix, sequence%ringSize)
}

// load reads the shard's committed state.
func (l *log) load(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	entries, _, err := l.store.List(ctx, l.prefix)
	if err != nil {
		return nil, err
	}
	snap := snapshot{State: NewState()}
	bySequence := map[int64]entry{}
	for _, e := range entries {
		if e.Key == l.snapKey() {
			if err := cbor.Unmarshal(e.Value, &snap); err != nil {
				return nil, errors.Wrapf(err, "decode %s", e.Key)
			}
			l.snapRev, l.snapSize = e.Revision, len(e.Value)
			continue
		}
		decoded, slot, err := l.decodeEntry(e)
		if err != nil {
			return nil, err
		}
		l.revisions[slot] = e.Revision
		bySequence[decoded.Sequence] = decoded
	}
	return l.replay(snap, bySequence)
}

func (l *log) decodeEntry(e hosting.Entry) (decoded entry, slot int64, err error) {
	if err := cbor.Unmarshal(e.Value, &decoded); err != nil {
		return decoded, 0, errors.Wrapf(err, "decode %s", e.Key)
	}
	slot = decoded.Sequence % ringSize
	if decoded.Sequence <= 0 || l.entryKey(decoded.Sequence) != e.Key {
		return decoded, 0, errors.Newf("%s holds entry %d, which belongs in another slot", e.Key, decoded.Sequence)
	}
	return decoded, slot, nil
}

// replay applies the entries that follow the snapshot.
func (l *log) replay(snap snapshot, bySequence map[int64]entry) (*State, error) {
	if snap.State == nil {
		snap.State = NewState()
	}
	snap.State.restore()
	l.sequence, l.snapSeq, l.pending = snap.Sequence, snap.Sequence, 0
	for {
		next, ok := bySequence[l.sequence+1]
		if !ok {
			return snap.State, l.checkEnd(bySequence)
		}
		for _, op := range next.Ops {
			if err := snap.State.Apply(op); err != nil {
				return nil, errors.Wrapf(err, "entry %d of %s", next.Sequence, l.prefix)
			}
		}
		l.sequence++
	}
}

// checkEnd returns an error when entries exist after the one at which the log seems
// to end. The missing entries were committed, and a leader that continued from here
// would lose them.
func (l *log) checkEnd(bySequence map[int64]entry) error {
	for sequence := range bySequence {
		if sequence > l.sequence {
			return errors.Newf("log %s lacks entry %d but has later entry %d", l.prefix, l.sequence+1, sequence)
		}
	}
	return nil
}

// append commits ops as the next entry. It retries until the store gives a definite
// response or ctx ends. ErrSuperseded means that ops were not and will not be
// committed.
func (l *log) append(ctx context.Context, ops []Op) error {
	e := entry{Sequence: l.sequence + 1, Nonce: make([]byte, 8), Ops: ops}
	_, _ = rand.Read(e.Nonce)
	value, err := cbor.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode log entry")
	}
	for {
		rev, err := l.tryAppend(ctx, e, value)
		switch {
		case err == nil:
			l.sequence = e.Sequence
			l.revisions[e.Sequence%ringSize] = rev
			l.pending += len(value)
			return nil
		case errors.Is(err, ErrSuperseded):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		pause.For(ctx, commitRetryDelay)
	}
}

// tryAppend writes the entry once. If the outcome is uncertain, it reads the slot
// back: the nonce distinguishes this entry from another writer's.
func (l *log) tryAppend(ctx context.Context, e entry, value []byte) (hosting.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	key, expect := l.entryKey(e.Sequence), l.revisions[e.Sequence%ringSize]
	rev, err := l.store.Put(ctx, key, value, expect, "")
	if err == nil || errors.Is(err, hosting.ErrUnavailable) {
		return rev, err
	}
	found, readErr := l.store.Get(ctx, key)
	switch {
	case errors.Is(readErr, hosting.ErrNotFound):
		return 0, err
	case readErr != nil:
		return 0, readErr
	case string(found.Value) == string(value):
		return found.Revision, nil
	case found.Revision != expect:
		return 0, ErrSuperseded
	}
	return 0, err
}

// snapshotDue reports whether the ring is nearly full of entries that the snapshot
// lacks, or the last snapshot was no larger than the entries since.
func (l *log) snapshotDue() bool {
	return l.sequence-l.snapSeq >= ringSize-8 || l.pending > max(minSnapshotBytes, l.snapSize)
}

// snapshotOverdue reports whether the ring is full: no entry may be written before
// the next snapshot, since it would overwrite one that is still needed.
func (l *log) snapshotOverdue() bool { return l.sequence-l.snapSeq >= ringSize-1 }

// resolveSnapshotConflict examines the stored snapshot after a write failed with err.
// A snapshot that is not ahead of this log is replaced by the next attempt: it is
// this leader's own, whose response was lost, or holds the same state. If another
// leader has committed since, replacing its snapshot would restore an old state.
func (l *log) resolveSnapshotConflict(found hosting.Entry, err error) error {
	var snap snapshot
	if decodeErr := cbor.Unmarshal(found.Value, &snap); decodeErr != nil {
		return errors.Wrapf(decodeErr, "decode %s", found.Key)
	}
	if snap.Sequence > l.sequence {
		return ErrSuperseded
	}
	l.snapRev = found.Revision
	return err
}

// writeSnapshot stores the state, which must be the one after the last entry.
func (l *log) writeSnapshot(ctx context.Context, s *State) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	value, err := cbor.Marshal(snapshot{Sequence: l.sequence, State: s})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	rev, err := l.store.Put(ctx, l.snapKey(), value, l.snapRev, "")
	if err != nil {
		// Conflict or lost response: continue from what is stored.
		found, readErr := l.store.Get(ctx, l.snapKey())
		if readErr != nil {
			return err
		}
		if string(found.Value) != string(value) {
			return l.resolveSnapshotConflict(found, err)
		}
		rev = found.Revision
	}
	l.snapRev, l.snapSeq, l.snapSize, l.pending = rev, l.sequence, len(value), 0
	return nil
}
