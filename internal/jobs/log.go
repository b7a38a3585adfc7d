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

// A shard is kept in the store as a snapshot and a ring of log entries:
//
//	jobs/<shard>/snap      the state after entry Sequence
//	jobs/<shard>/log/<nn>  entry Sequence, at nn = Sequence mod ringSize
//
// An entry is written on condition that its place in the ring is as the writer
// last saw it. Of two nodes that both believe they lead, one therefore fails at
// its next entry, whatever their clocks say: the ring is the fence. A new
// leader first writes an entry that only says so, after which no write of the
// old one can succeed.
//
// Ways weighed: one value per shard rewritten whole costs the whole state per
// commit; one key per job costs a write per job and has no order among them.
// docs/design/003-jobs.md has the figures.
const (
	ringSize = 64
	// minSnapshotBytes of entries are written before a snapshot is worth it.
	minSnapshotBytes = 16 << 10
	logCallTimeout   = 2 * time.Second
	// commitRetryDelay is the least time between two tries of the same entry.
	commitRetryDelay = 200 * time.Millisecond
)

// entry is one element of the log.
type entry struct {
	Sequence int64  `cbor:"1,keyasint"`
	Nonce    []byte `cbor:"2,keyasint"`
	Ops      []Op   `cbor:"3,keyasint"`
}

// snapshot is the state after an entry.
type snapshot struct {
	Sequence int64  `cbor:"1,keyasint"`
	State    *State `cbor:"2,keyasint"`
}

// ErrSuperseded says that another node has written to the shard since this one read it.
var ErrSuperseded = errors.New("another node leads the shard")

// log reads and writes one shard's entries.
type log struct {
	store    hosting.Store
	prefix   string
	sequence int64
	snapSeq  int64
	snapRev  hosting.Revision
	snapSize int
	// pending counts the bytes of entries since the snapshot.
	pending   int
	revisions [ringSize]hosting.Revision
}

func (l *log) snapKey() string { return l.prefix + "snap" }

func (l *log) entryKey(sequence int64) string {
	return fmt.Sprintf("%slog/%02d", l.prefix, sequence%ringSize)
}

// load reads the shard's state as far as it is committed.
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
		one, place, err := l.decodeEntry(e)
		if err != nil {
			return nil, err
		}
		l.revisions[place] = e.Revision
		bySequence[one.Sequence] = one
	}
	return l.replay(snap, bySequence)
}

func (l *log) decodeEntry(e hosting.Entry) (one entry, place int64, err error) {
	if err := cbor.Unmarshal(e.Value, &one); err != nil {
		return one, 0, errors.Wrapf(err, "decode %s", e.Key)
	}
	place = one.Sequence % ringSize
	if one.Sequence <= 0 || l.entryKey(one.Sequence) != e.Key {
		return one, 0, errors.Newf("%s holds entry %d, which belongs elsewhere", e.Key, one.Sequence)
	}
	return one, place, nil
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

// checkEnd returns an error when there are entries after the one at which the log
// seems to end: what is missing before them was committed, and a leader that went on
// from here would lose it.
func (l *log) checkEnd(bySequence map[int64]entry) error {
	for sequence := range bySequence {
		if sequence > l.sequence {
			return errors.Newf("%s lacks entry %d and has %d", l.prefix, l.sequence+1, sequence)
		}
	}
	return nil
}

// append commits ops as the next entry. It keeps trying until the store has
// answered for certain or ctx ends; ErrSuperseded means that they were not and
// will not be committed.
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

// tryAppend writes the entry once and, if the outcome is not certain, reads its
// place back: the nonce tells our write from another's.
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

// snapshotDue reports whether the ring is nearly full of entries that the
// snapshot lacks, or a snapshot costs no more than what it replaces.
func (l *log) snapshotDue() bool {
	return l.sequence-l.snapSeq >= ringSize-8 || l.pending > max(minSnapshotBytes, l.snapSize)
}

// snapshotOverdue reports that the ring is full: no entry may be written before
// the next snapshot, since it would overwrite one that is still needed.
func (l *log) snapshotOverdue() bool { return l.sequence-l.snapSeq >= ringSize-1 }

// resolveSnapshotConflict looks at a snapshot that is there in place of the one that was
// written with err. One that goes no further is replaced by the next try: it is this
// leader's own, whose answer was lost, or tells the same. Where another leader has
// committed since, to replace it would bring an old state back.
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

// writeSnapshot stores the state, which must be that after the last entry.
func (l *log) writeSnapshot(ctx context.Context, s *State) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	value, err := cbor.Marshal(snapshot{Sequence: l.sequence, State: s})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	rev, err := l.store.Put(ctx, l.snapKey(), value, l.snapRev, "")
	if err != nil {
		// Conflict or lost answer: go on from what is there.
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
