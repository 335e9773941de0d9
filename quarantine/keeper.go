package quarantine

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	// refusalQueueCapacity bounds the refusals that wait to be stored.
	refusalQueueCapacity = 64
	// keeperInterval is how often the keeper checks what is due.
	keeperInterval = 200 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the time between a failed call to the store
	// and the next one. The time doubles with each failure.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 30 * time.Second
	// lateCallTime is the time in which the store may still execute a call that it has not
	// answered.
	lateCallTime = 10 * time.Second
	// memberDelay is the time after the read until this instance knows the others, of which
	// one deletes what is not needed any more.
	memberDelay = 5 * time.Second
	// restoreWindow is how old a copy may be from which the store is restored. Changes
	// within it are repeated.
	restoreWindow = 5 * time.Minute
)

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	Store RefusalStore
	// NothingStored reports whether nothing can be stored, since the fleet has not run
	// before, and whether that is known yet; nil is never.
	NothingStored func() (nothing, known bool)
	Self          api.InstanceID
	Members       func() []api.Member
	// Now is the time of day, and Cleared reports whether a part need not be refused any
	// more.
	Now     func() time.Time
	Cleared func(Part) bool
	// OnRead is called with the crashes of the refusals that were read at the start.
	OnRead func([]CrashRecord)
	Log    *slog.Logger
	Scope  tally.Scope
}

// Keeper keeps refusals in the platform's store, so that they outlast the loss of all
// instances. It reads them once when the instance starts. No request waits for it.
type Keeper struct {
	o        KeeperOptions
	refusals *ring.Queue[Refusal]
	restored *ring.Queue[struct{}]

	read    bool                 // the refusals were read
	readAt  time.Time            // zero: nothing was read
	held    map[Part]heldRefusal // in the store, as far as known
	pending map[Part]change      // to be made in the store
	made    map[Part]change      // made within restoreWindow
	backoff time.Duration        // 0 after a call that succeeded
	retryAt time.Time            // no call before
	repeat  map[Part]time.Time   // when to delete again, after an unanswered write
	unsure  map[Part]time.Time   // when a write was not answered
}

// heldRefusal is a refusal that is in the store.
type heldRefusal struct {
	own bool // written by this instance
}

// change is a change of the store.
type change struct {
	refusal StoredRefusal
	remove  bool
	at      time.Time
}

// NewKeeper returns a keeper that has read nothing.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		o: o, refusals: ring.New[Refusal](refusalQueueCapacity), restored: ring.New[struct{}](1),
		held: make(map[Part]heldRefusal), pending: make(map[Part]change), made: make(map[Part]change),
		repeat: make(map[Part]time.Time), unsure: make(map[Part]time.Time),
	}
}

// Store hands over refusals. It never blocks.
func (k *Keeper) Store(refusals []Refusal) {
	for _, refusal := range refusals {
		if !k.refusals.TryPut(refusal) {
			k.count("dropped")
		}
	}
}

// StoreRestored says that the store was restored from a copy, which may lack the latest
// changes. It never blocks.
func (k *Keeper) StoreRestored() { k.restored.TryPut(struct{}{}) }

// Run reads and writes until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()
	for {
		k.callStore(ctx)
		select {
		case <-ctx.Done():
			return nil
		case refusal := <-k.refusals.C():
			k.add(refusal)
		case <-k.restored.C():
			k.repeatChanges()
		case <-ticker.C:
			k.findCleared()
		}
	}
}

// add keeps a refusal until it is stored. While the store is away, refusals beyond
// maxStored are dropped: it would not keep them.
func (k *Keeper) add(refusal Refusal) {
	if len(k.pending) >= maxStored {
		k.count("dropped")
		return
	}
	now := k.o.Now()
	k.pending[refusal.Part] = change{refusal: refusal.toStored(now), at: now}
}

// callStore makes the calls that are due.
func (k *Keeper) callStore(ctx context.Context) {
	if k.o.Now().Before(k.retryAt) {
		return
	}
	if !k.read && k.o.NothingStored != nil {
		nothing, known := k.o.NothingStored()
		if !known {
			return
		}
		k.read = nothing
	}
	if !k.read && !k.succeeded(ctx, "read", k.readRefusals(ctx)) {
		return
	}
	for part, change := range k.pending {
		if !change.remove && k.o.Cleared(part) {
			delete(k.pending, part)
			k.deleteLate(part)
			continue
		}
		what, err := "written", error(nil)
		if change.remove {
			what, err = "deleted", k.o.Store.DeleteRefusal(ctx, part)
		} else {
			err = k.write(ctx, change.refusal)
		}
		if !k.succeeded(ctx, what, err) {
			return
		}
		delete(k.pending, part)
		k.recordChange(part, change)
	}
}

// succeeded counts and logs a call, and sets when the next one may be made.
func (k *Keeper) succeeded(ctx context.Context, what string, err error) bool {
	if err == nil {
		k.backoff = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	k.backoff = min(max(2*k.backoff, minStoreBackoff), maxStoreBackoff)
	k.retryAt = k.o.Now().Add(k.backoff)
	k.count(what + "_failed")
	k.o.Log.Warn("call about stored refusals failed", "call", what, "error", err, "retry_ms", k.backoff.Milliseconds())
	return false
}

// readRefusals reads what earlier instances have stored.
func (k *Keeper) readRefusals(ctx context.Context) error {
	refusals, unreadable, err := k.o.Store.ListRefusals(ctx)
	if err != nil {
		return err
	}
	now := k.o.Now()
	k.read, k.readAt = true, now
	var records []CrashRecord
	expired := 0
	for _, r := range refusals[max(0, len(refusals)-2*maxStored):] {
		if err := r.check(now); err != nil {
			unreadable++
			k.o.Log.Warn("stored refusal not used", "error", err)
			continue
		}
		k.held[r.Part] = heldRefusal{}
		if r.expired(now) {
			expired++
			continue
		}
		records = append(records, r.records(now)...)
	}
	k.o.Scope.Counter("stored_unreadable").Inc(int64(unreadable))
	k.o.Log.Info("stored refusals read", "refusals", len(k.held), "expired", expired, "unreadable", unreadable, "crashes", len(records))
	if len(records) > 0 {
		k.o.OnRead(records)
	}
	return nil
}

// write stores a refusal within the bounds of the number of entries.
func (k *Keeper) write(ctx context.Context, refusal StoredRefusal) error {
	existing, _, err := k.o.Store.ListRefusals(ctx)
	if err != nil {
		return err
	}
	plan := planWrite(k.o.Now(), existing, refusal)
	for _, r := range plan.remove {
		if err := k.o.Store.DeleteRefusal(ctx, r.Part); err != nil {
			return err
		}
		delete(k.held, r.Part)
		k.count("evicted")
		k.o.Log.Info("stored refusal removed", "part", r.Part, "account", r.Account, "reason", "expired or too many")
	}
	if plan.stored {
		return nil
	}
	refusal.Revision = plan.revision
	if err := k.o.Store.WriteRefusal(ctx, refusal); err != nil {
		k.unsure[refusal.Part] = k.o.Now()
		return err
	}
	return nil
}

// recordChange records a change that the store has made.
func (k *Keeper) recordChange(part Part, c change) {
	now := k.o.Now()
	c.at = now
	k.made[part] = c
	if c.remove {
		delete(k.held, part)
		k.deleteLate(part)
		k.count("deleted")
		k.o.Log.Info("stored refusal removed", "part", part, "reason", "cleared")
		return
	}
	k.held[part] = heldRefusal{own: true}
	k.count("written")
	k.o.Log.Info("refusal stored", "part", part, "account", c.refusal.Account, "crashes", len(c.refusal.Crashes))
}

// deleteLate makes a part be deleted once the store cannot execute an unanswered write of it
// any more.
func (k *Keeper) deleteLate(part Part) {
	if at, ok := k.unsure[part]; ok && k.o.Now().Sub(at) < lateCallTime {
		k.repeat[part] = at.Add(lateCallTime)
	}
	delete(k.unsure, part)
}

// findCleared deletes refusals that are not needed any more. Of those that were read, the
// first instance in the order of trials does it.
func (k *Keeper) findCleared() {
	now := k.o.Now()
	for part, held := range k.held {
		if _, changing := k.pending[part]; changing || !k.o.Cleared(part) {
			continue
		}
		if !held.own && now.Sub(k.readAt) < memberDelay {
			continue
		}
		if !held.own && trialRank(k.o.Self, k.o.Members()) != 0 {
			delete(k.held, part)
			continue
		}
		k.pending[part] = change{remove: true, at: now}
	}
	for part, at := range k.repeat {
		if !now.After(at) {
			continue
		}
		delete(k.repeat, part)
		if _, refused := k.held[part]; !refused {
			k.pending[part] = change{remove: true, at: now}
		}
	}
	maps.DeleteFunc(k.made, func(_ Part, c change) bool { return now.Sub(c.at) > restoreWindow })
	maps.DeleteFunc(k.unsure, func(_ Part, at time.Time) bool { return now.Sub(at) > lateCallTime })
}

// repeatChanges repeats the changes that a restored store may lack.
func (k *Keeper) repeatChanges() {
	for part, c := range k.made {
		if _, changing := k.pending[part]; !changing {
			k.pending[part] = c
		}
	}
}

func (k *Keeper) count(what string) { k.o.Scope.Counter("stored_" + what).Inc(1) }
