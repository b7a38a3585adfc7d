package config

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/pause"
)

// headKey is the key in the store of the whole configuration.
const headKey = "config/head"

const (
	// watchTimeout limits one watch call. A watch that stops responding is detected
	// soon after, well within the ten seconds in which a change must be in force.
	watchTimeout = 3 * time.Second
	// retryDelay is the minimum delay between failed reads.
	retryDelay = 300 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = 2 * time.Second
	// maxPatchAttempts limits how often a patch whose write has an unknown outcome is
	// read back before the sender gets an error.
	maxPatchAttempts = 3
)

// Installed is a version in use at a node. It is immutable.
type Installed struct {
	Head     Head
	Document Document
	revision hosting.Revision
	// identities maps a token's hash to the identity of its holder.
	identities map[string]Identity
}

// Identity is the operator or team that a credential belongs to.
type Identity struct {
	// Name is the name of the operator or team.
	Name string
	// IsOperator is set for operators, who may change anything; otherwise Name is a
	// team.
	IsOperator bool
}

// Keeper keeps a node's copy of the configuration up to date and applies patches.
type Keeper struct {
	store     hosting.Store
	log       *logrus.Entry
	bootstrap string
	current   atomic.Pointer[Installed]

	mu          sync.Mutex
	changed     chan struct{}
	confirmedAt time.Time
}

// NewKeeper returns a keeper with the empty configuration, version 0. bootstrap is the
// hash of a token that is accepted as an operator's while the configuration has no
// operators.
func NewKeeper(store hosting.Store, bootstrap string, log *logrus.Entry) *Keeper {
	k := &Keeper{store: store, bootstrap: bootstrap, log: log, changed: make(chan struct{})}
	k.current.Store(&Installed{identities: k.identitiesByToken(Document{})})
	return k
}

// Current returns the version in use.
func (k *Keeper) Current() *Installed { return k.current.Load() }

// Identify returns the identity that a token belongs to.
func (i *Installed) Identify(token string) (Identity, bool) {
	id, ok := i.identities[HashToken(token)]
	return id, ok
}

// ConfirmedAt returns when the store last confirmed that the version in use is the
// latest.
func (k *Keeper) ConfirmedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt
}

// Changed returns a channel that is closed when another version is installed.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Serve implements suture.Service: it follows changes of the head in the store.
func (k *Keeper) Serve(ctx context.Context) error {
	synced := false
	for ctx.Err() == nil {
		var err error
		if synced {
			err = k.follow(ctx)
		} else {
			err = k.read(ctx)
		}
		synced = err == nil
		if err != nil {
			pause.For(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.refresh(ctx)
	return err
}

// refresh reads the head from the store and installs it if it is newer.
func (k *Keeper) refresh(ctx context.Context) (*Installed, error) {
	e, err := k.store.Get(ctx, headKey)
	if errors.Is(err, hosting.ErrNotFound) {
		k.markConfirmed()
		return k.Current(), nil
	}
	if err != nil {
		return nil, err
	}
	if err := k.install(e); err != nil {
		return nil, err
	}
	k.markConfirmed()
	return k.Current(), nil
}

func (k *Keeper) follow(ctx context.Context) error {
	prevRevision := k.Current().revision
	events, _, err := k.store.Watch(ctx, headKey, prevRevision, watchTimeout)
	if err != nil {
		return err
	}
	for _, e := range events {
		if e.Key != headKey || e.Deleted {
			continue
		}
		if err := k.install(e.Entry); err != nil {
			return err
		}
	}
	k.markConfirmed()
	if len(events) > 0 && k.Current().revision == prevRevision {
		// A watch that replays known events returns at once; the delay prevents a busy
		// loop.
		pause.For(ctx, retryDelay)
	}
	return nil
}

// InstallFromPeer installs a head that a peer read from the store, if it is newer. It
// keeps a node up to date that cannot reach the store.
func (k *Keeper) InstallFromPeer(head []byte, revision int64) error {
	return k.install(hosting.Entry{Key: headKey, Value: head, Revision: hosting.Revision(revision)})
}

// EncodeHead returns the head in use, encoded for InstallFromPeer, with its revision.
func (k *Keeper) EncodeHead() (head []byte, revision int64, err error) {
	cur := k.Current()
	head, err = json.Marshal(cur.Head)
	return head, int64(cur.revision), err
}

func (k *Keeper) markConfirmed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmedAt = time.Now()
}

// install makes an entry of the store the version in use unless its version is the
// same or older. Without this check a stale read, a replayed watch or a delayed
// response would restore a configuration that operators have replaced.
func (k *Keeper) install(e hosting.Entry) error {
	var h Head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	d, err := Decode(h.document())
	if err != nil {
		return err
	}
	next := &Installed{Head: h, Document: d, revision: e.Revision, identities: k.identitiesByToken(d)}
	k.mu.Lock()
	defer k.mu.Unlock()
	if cur := k.current.Load(); h.Version <= cur.Head.Version {
		return nil
	}
	k.current.Store(next)
	close(k.changed)
	k.changed = make(chan struct{})
	k.log.WithField("version", h.Version).Info("configuration in force")
	return nil
}

func (k *Keeper) identitiesByToken(d Document) map[string]Identity {
	identities := make(map[string]Identity, len(d.Operators)+len(d.Teams)+1)
	if len(d.Operators) == 0 && k.bootstrap != "" {
		identities[k.bootstrap] = Identity{Name: "bootstrap", IsOperator: true}
	}
	for n, c := range d.Operators {
		identities[c.TokenSHA256] = Identity{Name: n, IsOperator: true}
	}
	for n, team := range d.Teams {
		identities[team.TokenSHA256] = Identity{Name: n}
	}
	return identities
}

// Patch creates a new version and returns it once the store has accepted it.
//
// The response to the write may be lost after it took effect. Sending the patch again
// would then conflict with its own result or apply it twice. So each patch has an ID,
// which is stored with the change in the same value: reading the head back shows
// whether the write succeeded.
func (k *Keeper) Patch(ctx context.Context, p Patch) (Head, error) {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	uncertain := false
	var lastErr error
	for range maxPatchAttempts {
		head, written, err := k.tryPatch(ctx, p)
		if err == nil {
			return head, nil
		}
		lastErr = err
		uncertain = uncertain || written && errors.Is(err, hosting.ErrUnknown)
		if !isStoreError(err) || !uncertain && !written {
			break
		}
	}
	if uncertain && isStoreError(lastErr) {
		lastErr = errors.Mark(lastErr, hosting.ErrUnknown)
	}
	return Head{}, classifyStoreError(lastErr)
}

func isStoreError(err error) bool {
	return errors.Is(err, hosting.ErrUnknown) || errors.Is(err, hosting.ErrUnavailable) ||
		errors.Is(err, hosting.ErrConflict)
}

// tryPatch reads the head and writes the next one. written is set when the write was
// sent, so that an unknown outcome is attributed to the write.
func (k *Keeper) tryPatch(ctx context.Context, p Patch) (next Head, written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cur, err := k.refresh(ctx)
	if err != nil {
		return Head{}, false, errors.Mark(err, hosting.ErrUnavailable)
	}
	next, err = cur.Head.Apply(p, time.Now())
	if err != nil || next.Version == cur.Head.Version {
		return next, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, false, err
	}
	rev, err := k.store.Put(ctx, headKey, value, cur.revision, "")
	if err != nil {
		return Head{}, true, err
	}
	return next, true, k.install(hosting.Entry{Key: headKey, Value: value, Revision: rev})
}

// classifyStoreError converts an error of the store to an errkind error.
func classifyStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, hosting.ErrUnknown):
		return errkind.New(errkind.StoreUnknown, "send the same patch with the same id again", err)
	case isStoreError(err):
		return errkind.New(errkind.StoreUnavailable, "nothing was changed", err)
	}
	return errkind.From(err)
}
