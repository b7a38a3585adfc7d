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

// headKey holds the whole configuration.
const headKey = "config/head"

const (
	// watchTimeout is how long one watch waits; a watch gone silent is noticed soon
	// after, well within the ten seconds that a change may take to be in force.
	watchTimeout = 3 * time.Second
	// retryDelay is the least time between failed reads.
	retryDelay = 300 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// maxPatchAttempts bounds how often a patch whose write's outcome is unknown is
	// read back before the sender is told so.
	maxPatchAttempts = 3
)

// Installed is one version in use at a node. It is immutable.
type Installed struct {
	Head     Head
	Document Document
	revision hosting.Revision
	// identities maps a token's hash to who holds it.
	identities map[string]Identity
}

// Identity is whom a credential stands for.
type Identity struct {
	// Name is the operator's or team's name.
	Name string
	// IsOperator may change anything; otherwise Name is a team.
	IsOperator bool
}

// Keeper keeps a node's copy of the configuration up to date and makes changes.
type Keeper struct {
	store     hosting.Store
	log       *logrus.Entry
	bootstrap string
	current   atomic.Pointer[Installed]

	mu          sync.Mutex
	changed     chan struct{}
	confirmedAt time.Time
}

// NewKeeper returns a keeper with the empty configuration, version 0. bootstrap
// is the hash of a token that counts as an operator's while there are none.
func NewKeeper(store hosting.Store, bootstrap string, log *logrus.Entry) *Keeper {
	k := &Keeper{store: store, bootstrap: bootstrap, log: log, changed: make(chan struct{})}
	k.current.Store(&Installed{identities: k.identitiesByToken(Document{})})
	return k
}

// Current returns the version in use.
func (k *Keeper) Current() *Installed { return k.current.Load() }

// Identify returns whom a token stands for.
func (i *Installed) Identify(token string) (Identity, bool) {
	id, ok := i.identities[HashToken(token)]
	return id, ok
}

// ConfirmedAt returns when the store last confirmed that the version in use is
// the newest.
func (k *Keeper) ConfirmedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt
}

// Changed returns a channel that closes when another version is installed.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Serve implements suture.Service: it follows the head in the store.
func (k *Keeper) Serve(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = k.follow(ctx)
		} else {
			err = k.read(ctx)
		}
		listed = err == nil
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
	before := k.Current().revision
	events, _, err := k.store.Watch(ctx, headKey, before, watchTimeout)
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
	if len(events) > 0 && k.Current().revision == before {
		// A watch that replays what is known answers at once, again and again.
		pause.For(ctx, retryDelay)
	}
	return nil
}

// InstallFromPeer takes a head that a peer uses, read from the store by that peer. A node
// that cannot reach the store keeps up with the others this way.
func (k *Keeper) InstallFromPeer(head []byte, revision int64) error {
	return k.install(hosting.Entry{Key: headKey, Value: head, Revision: hosting.Revision(revision)})
}

// EncodeHead returns the head in use as a peer may take it, with its revision.
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

// install puts an entry of the store in use unless it is older than, or the
// same as, the one in use. A stale read, a replayed watch or a slow answer
// would otherwise bring back a configuration that operators have replaced.
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
	t := make(map[string]Identity, len(d.Operators)+len(d.Teams)+1)
	if len(d.Operators) == 0 && k.bootstrap != "" {
		t[k.bootstrap] = Identity{Name: "bootstrap", IsOperator: true}
	}
	for n, c := range d.Operators {
		t[c.TokenSHA256] = Identity{Name: n, IsOperator: true}
	}
	for n, team := range d.Teams {
		t[team.TokenSHA256] = Identity{Name: n}
	}
	return t
}

// Patch makes a new version and returns it once the store has taken it.
//
// The answer to the write may be lost after it took effect. Sending the patch
// again would then fail against its own result, or worse, be applied twice. So
// each patch has an id, kept with the change in the same value: the head read
// back says whether the write was ours.
func (k *Keeper) Patch(ctx context.Context, p Patch) (Head, error) {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	uncertain := false
	var lastErr error
	for range maxPatchAttempts {
		head, wrote, err := k.tryPatch(ctx, p)
		if err == nil {
			return head, nil
		}
		lastErr = err
		uncertain = uncertain || wrote && errors.Is(err, hosting.ErrUnknown)
		if !isStoreError(err) || !uncertain && !wrote {
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

// tryPatch reads the head and writes the next one. wrote is set when the write
// was sent, so that an unknown outcome is the write's.
func (k *Keeper) tryPatch(ctx context.Context, p Patch) (next Head, wrote bool, err error) {
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

// classifyStoreError gives an error of the store its kind.
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
