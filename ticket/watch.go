package ticket

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// minWatchWait is the shortest wait of a watch: the time for which the store
	// holds it if nothing changes. With one response a second the last store contact
	// is never older than 2 s plus the store's delay.
	minWatchWait = time.Second
	// maxWatchWait limits the wait of a watch while the store is slow; the wait
	// then equals the store's delay.
	maxWatchWait = 3 * time.Second
	// slowStoreDelay is the delay of the store from which two watches overlap; see
	// watchDue.
	slowStoreDelay = 500 * time.Millisecond
	// minWatchRetryDelay and maxWatchRetryDelay limit the delay after a failed
	// watch, which doubles with each failure.
	minWatchRetryDelay = 200 * time.Millisecond
	maxWatchRetryDelay = 2 * time.Second
	// storeReachableAge is the age of the last response up to which the store
	// counts as reachable.
	storeReachableAge = 3 * time.Second
	// delayedWatchListInterval is the time between two lists by an instance without
	// peers, while a slow store delays the watch.
	delayedWatchListInterval = 500 * time.Millisecond
	// maxActiveLists limits the concurrent lists by listWhileWatchDelayed.
	maxActiveLists = 4
)

// watch is the state of watching the store. One instance of each failure domain
// watches.
type watch struct {
	watchesStore bool          // this instance watches for its failure domain
	activeCalls  int           // lists and watches in flight
	sentAt       time.Duration // of the last watch
	wait         time.Duration // of the last watch
	storeDelay   time.Duration // time of the last response beyond the wait
	listed       bool          // the control prefix was listed: revision is valid
	revision     uint64
	retryAt      time.Duration
	retryDelay   time.Duration
	readingHead  bool          // a read by Core.readHead is in flight
	activeLists  int           // lists by listWhileWatchDelayed in flight
	lastListAt   time.Duration // last list by listWhileWatchDelayed

	// newestHeadVersion is the highest head version read from the store.
	newestHeadVersion uint64
	// registrationsHeadVersion is the newest head version for which the watch has
	// shown all earlier changes of registrations.
	registrationsHeadVersion uint64
	// registered are the registrations that the watch has shown.
	registered map[api.InstanceID]registration
	// registeredIncarnations is registered in the form that Registrations
	// returns; nil after a change.
	registeredIncarnations map[api.InstanceID]uint64
	// expelledIncarnation is the highest incarnation of this instance whose
	// registration was removed; 0 means none.
	expelledIncarnation uint64
	// storeContact is the result of Core.StoreContact.
	storeContact time.Duration
	// pendingContact is the time at which a read was sent that returned a newer head
	// than the applied one. It becomes the store contact when that head is applied.
	pendingContact        time.Duration
	pendingContactVersion uint64
	// lastResponseAt is the time at which the last response of the store arrived.
	lastResponseAt time.Duration
}

// recordStoreContact records that a read sent at sentAt returned the head
// version. It counts only while this instance is registered, because the next
// ticket is accepted without waiting for an unregistered instance.
func (c *Core) recordStoreContact(sentAt time.Duration, version uint64) {
	w := &c.watch
	w.newestHeadVersion = max(w.newestHeadVersion, version)
	if _, registered := w.registered[c.options.Instance]; !registered {
		return
	}
	if version <= c.applied.version && c.ready {
		w.storeContact = max(w.storeContact, sentAt)
		return
	}
	w.pendingContact = sentAt
	w.pendingContactVersion = version
}

// confirmPendingContact makes the pending contact the store contact if its head
// is applied now.
func (c *Core) confirmPendingContact() {
	w := &c.watch
	if w.pendingContact > 0 && w.pendingContactVersion <= c.applied.version {
		w.storeContact = max(w.storeContact, w.pendingContact)
		w.pendingContact = 0
	}
}

// storeReachable reports whether the store responded recently.
func (c *Core) storeReachable(now time.Duration) bool {
	return c.watch.lastResponseAt >= 0 && now-c.watch.lastResponseAt <= storeReachableAge
}

// tickWatch sends the next list or watch of the control prefix if it is due.
func (c *Core) tickWatch(now time.Duration, watchesStore bool) {
	c.watch.watchesStore = watchesStore
	if !watchesStore {
		return
	}
	c.listWhileWatchDelayed(now)
	w := &c.watch
	if now < w.retryAt || !c.watchDue(now) {
		return
	}
	if !w.listed {
		w.activeCalls++
		c.startStoreCall(StoreCall{Op: StoreList, Key: controlPrefix}, c.handleControlList)
		return
	}
	w.activeCalls++
	w.sentAt = now
	w.wait = min(max(w.storeDelay, minWatchWait), maxWatchWait)
	wait := w.wait
	c.startStoreCall(StoreCall{Op: StoreWatch, Key: controlPrefix, AfterRevision: w.revision, Wait: wait}, func(now time.Duration, r StoreDone) {
		if r.Err == nil && len(r.Changes) == 0 {
			w.storeDelay = max(now-r.SentAt-wait, 0)
		}
		c.handleWatchResponse(now, r)
	})
}

// watchDue reports whether another watch has to be sent. While the store is slow
// two watches overlap: a single one waits at the store for only a part of the
// time, so that a change outside that part would be seen a full delay later.
func (c *Core) watchDue(now time.Duration) bool {
	w := &c.watch
	if w.activeCalls == 0 {
		return true
	}
	return w.listed && w.activeCalls == 1 && w.storeDelay >= slowStoreDelay && now-w.sentAt >= (w.wait+w.storeDelay)/2
}

// listWhileWatchDelayed lists the control prefix in parallel to a watch if the
// watch is delayed, that is if the last store contact is too old, and this instance
// has no peers: it then has no other way to confirm that its head is current.
func (c *Core) listWhileWatchDelayed(now time.Duration) {
	w := &c.watch
	if !c.ready || now-w.storeContact <= minWatchWait+delayedWatchListInterval || now-w.lastListAt < delayedWatchListInterval || w.activeLists >= maxActiveLists {
		return
	}
	if len(c.reachablePeers()) > 0 {
		return
	}
	w.lastListAt = now
	w.activeLists++
	c.startStoreCall(StoreCall{Op: StoreList, Key: controlPrefix}, func(now time.Duration, r StoreDone) {
		w.activeLists--
		if r.Err != nil {
			return
		}
		head, registered := c.splitControlList(r)
		c.handleHeadRead(now, head)
		if registered[c.options.Instance].Incarnation > 0 {
			c.recordStoreContact(r.SentAt, versionNumber(head.Object.Version))
		}
	})
}

// handleControlList processes the list of the control prefix that precedes the
// first watch.
func (c *Core) handleControlList(now time.Duration, r StoreDone) {
	w := &c.watch
	w.activeCalls--
	if r.Err != nil {
		c.delayNextWatch(now)
		return
	}
	w.retryDelay = 0
	w.listed = true
	w.revision = r.Revision
	previous, wasRegistered := w.registered[c.options.Instance]
	var head StoreDone
	head, w.registered = c.splitControlList(r)
	w.registeredIncarnations = nil
	if _, registered := w.registered[c.options.Instance]; wasRegistered && !registered {
		w.expelledIncarnation = previous.Incarnation
	}
	w.registrationsHeadVersion = versionNumber(head.Object.Version)
	c.handleHeadRead(now, head)
	c.recordStoreContact(r.SentAt, w.registrationsHeadVersion)
	c.tryAccept(now)
}

// splitControlList splits a list of the control prefix into the head and the
// registrations.
func (c *Core) splitControlList(r StoreDone) (StoreDone, map[api.InstanceID]registration) {
	head := StoreDone{SentAt: r.SentAt, Err: store.ErrNotFound}
	registrations := make(map[api.InstanceID]registration, len(r.Objects))
	for _, object := range r.Objects {
		if object.Key == headKey {
			head.Object, head.Err = object, nil
		} else if id, found := strings.CutPrefix(object.Key, memberPrefix); found {
			registrations[api.InstanceID(id)] = c.decodeRegistration(id, object.Value)
		}
	}
	return head, registrations
}

func (c *Core) decodeRegistration(id string, value []byte) registration {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		// The key still names the instance, so acceptance waits for it.
		c.emit(Note{Kind: NoteDecodeFailed, Err: Error.New("registration of instance %q: %w", id, err)})
	}
	r.Instance = api.InstanceID(id)
	return r
}

// applyRegistrationChange processes a change of a registration.
func (c *Core) applyRegistrationChange(change store.Change) {
	id, found := strings.CutPrefix(change.Key, memberPrefix)
	if !found {
		return
	}
	instance := api.InstanceID(id)
	c.watch.registeredIncarnations = nil
	if !change.Deleted {
		c.watch.registered[instance] = c.decodeRegistration(id, change.Value)
		return
	}
	if previous, known := c.watch.registered[instance]; known && instance == c.options.Instance {
		c.watch.expelledIncarnation = previous.Incarnation
	}
	delete(c.watch.registered, instance)
}

// handleWatchResponse processes the result of a watch and sends the next one.
func (c *Core) handleWatchResponse(now time.Duration, r StoreDone) {
	w := &c.watch
	w.activeCalls--
	if errors.Is(r.Err, store.ErrCompacted) {
		w.listed = false
		return
	}
	if r.Err != nil {
		c.delayNextWatch(now)
		return
	}
	w.retryDelay = 0
	if r.Revision < w.revision && len(r.Changes) > 0 {
		return // the overlapping watch has already shown these changes
	}
	w.revision = max(w.revision, r.Revision)
	// Only the last head is current. After a pause a response also contains older
	// ones, which do not confirm a store contact.
	var lastHead *store.Object
	for i := range r.Changes {
		if r.Changes[i].Key == headKey && !r.Changes[i].Deleted {
			lastHead = &r.Changes[i].Object
			continue
		}
		c.applyRegistrationChange(r.Changes[i])
	}
	switch {
	case lastHead == nil:
		c.recordStoreContact(r.SentAt, w.newestHeadVersion)
	default:
		w.registrationsHeadVersion = versionNumber(lastHead.Version)
		c.handleHeadRead(now, StoreDone{SentAt: r.SentAt, Object: *lastHead})
		c.recordStoreContact(r.SentAt, w.registrationsHeadVersion)
	}
	c.tickWatch(now, w.watchesStore)
	c.tryAccept(now)
}

// Registrations returns the registered instances with their incarnations, or nil
// if this instance does not watch the store. The map is not changed afterwards.
func (c *Core) Registrations() map[api.InstanceID]uint64 {
	w := &c.watch
	if !w.watchesStore || !w.listed {
		return nil
	}
	if w.registeredIncarnations == nil {
		w.registeredIncarnations = make(map[api.InstanceID]uint64, len(w.registered))
		for id, r := range w.registered {
			w.registeredIncarnations[id] = r.Incarnation
		}
	}
	return w.registeredIncarnations
}

// delayNextWatch doubles the retry delay after a failed list or watch.
func (c *Core) delayNextWatch(now time.Duration) {
	w := &c.watch
	w.retryDelay = min(max(2*w.retryDelay, minWatchRetryDelay), maxWatchRetryDelay)
	w.retryAt = now + w.retryDelay
}
