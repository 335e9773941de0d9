package fleet

import (
	"context"
	"encoding/json"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// MemberPrefix is the store key prefix of the registrations. A ticket is accepted
// only when every registered instance has acknowledged it. The prefix shares its
// parent with the key of the ticket head, so that one watch reports changes of
// both in order.
const MemberPrefix = "control/members/"

// Registration is the JSON value of a registration in the store. An instance
// registers before it serves and stays registered until it has left or was
// expelled.
type Registration struct {
	Instance    api.InstanceID `json:"instance"`
	Incarnation uint64         `json:"incarnation"`
	Address     string         `json:"address"`
	Half        api.Half       `json:"half"`
}

// exchange performs a SendExchange and posts the result.
func (r *Runner) exchange(a SendExchange) {
	sentAt := r.options.Clock()
	r.deltas.collectInto(a.Request.GetDeltas())
	r.metrics.exchanges.Inc(1)
	r.metrics.exchangeBytes.Inc(int64(proto.Size(a.Request)))
	response, err := r.options.Clients.Client(a.Address).Exchange(r.ctx, a.Request)
	if err != nil {
		response = nil
		r.metrics.failures.Inc(reason.PeerUnreachable)
	}
	r.deltas.distribute(response.GetDeltas())
	r.postEvent(ExchangeDone{To: a.To, Address: a.Address, SentAt: sentAt, Response: response})
}

// probe performs a SendProbe and posts the result.
func (r *Runner) probe(a SendProbe) {
	sentAt := r.options.Clock()
	r.metrics.probes.Inc(1)
	response, err := r.options.Clients.Client(a.Address).Probe(r.ctx, &peerpb.ProbeRequest{From: string(r.options.Instance)})
	ok := err == nil && response.GetInstance() == string(a.To)
	r.postEvent(ProbeDone{To: a.To, Incarnation: a.Incarnation, SentAt: sentAt, OK: ok})
}

// readInstanceList reads the platform's instance list and posts the result.
func (r *Runner) readInstanceList() {
	requestedAt := r.options.Clock()
	list, err := r.options.Store.Instances(r.ctx)
	done := InstanceListDone{RequestedAt: requestedAt, OK: err == nil}
	for _, i := range list {
		done.Instances = append(done.Instances, ListedInstance{ID: api.InstanceID(i.ID), Address: i.Address})
	}
	r.postEvent(done)
}

// register writes the registration unless the store has one with the same or a
// higher incarnation. If the response to an earlier write was lost, the stored
// value equals this instance's registration and counts as success.
func (r *Runner) register(incarnation uint64) {
	own := Registration{Instance: r.options.Instance, Incarnation: incarnation, Address: r.options.Address, Half: r.options.Half}
	done := RegisterDone{Incarnation: incarnation}
	stored, version, err := r.readRegistration(r.ctx, r.options.Instance)
	switch {
	case err != nil:
	case stored == own:
		done.OK = true
	case version != 0 && stored.Incarnation >= incarnation:
		done.StoredIncarnation = stored.Incarnation
	default:
		value, _ := json.Marshal(own)
		_, err = r.options.Store.Put(r.ctx, MemberPrefix+string(own.Instance), value, version)
		done.OK = err == nil
	}
	if err != nil {
		r.metrics.failures.Inc(reason.StoreUnavailable)
	}
	r.postEvent(done)
}

// readRegistrations reads all registrations. Those that cannot be decoded are
// skipped; the ticket status reports them to the operator.
func (r *Runner) readRegistrations() {
	objects, _, err := r.options.Store.List(r.ctx, MemberPrefix)
	if err != nil {
		r.metrics.failures.Inc(reason.StoreUnavailable)
		return
	}
	var done RegistrationsDone
	for _, object := range objects {
		var stored Registration
		if json.Unmarshal(object.Value, &stored) == nil {
			done.Registrations = append(done.Registrations, stored)
		}
	}
	r.postEvent(done)
}

// readRegistration reads the registration of an instance. Version 0 means that
// there is none.
func (r *Runner) readRegistration(ctx context.Context, id api.InstanceID) (Registration, store.Version, error) {
	object, err := r.options.Store.Get(ctx, MemberPrefix+string(id))
	if errors.Is(err, store.ErrNotFound) {
		return Registration{}, 0, nil
	}
	if err != nil {
		return Registration{}, 0, err
	}
	var stored Registration
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return Registration{}, 0, Error.Wrap(err)
	}
	return stored, object.Version, nil
}

// deregister removes the registration of an instance unless it belongs to a higher
// incarnation. It reports whether the store now has no registration of the instance.
func (r *Runner) deregister(ctx context.Context, id api.InstanceID, incarnation uint64) bool {
	stored, version, err := r.readRegistration(ctx, id)
	if err != nil {
		return false
	}
	if version == 0 {
		return true
	}
	if stored.Incarnation > incarnation {
		return false
	}
	return r.options.Store.Delete(ctx, MemberPrefix+string(id), version) == nil
}

// expel removes the registration of a member, posts the result, and reports
// whether it succeeded.
func (r *Runner) expel(ctx context.Context, a Expel) bool {
	ok := r.deregister(ctx, a.ID, a.Incarnation)
	if ok {
		r.metrics.expelled.Inc(1)
		r.options.Log.Warn("expelled instance", "member", string(a.ID), "incarnation", a.Incarnation)
	}
	r.postEvent(ExpelDone{ID: a.ID, Incarnation: a.Incarnation, OK: ok})
	return ok
}

// Expel expels an instance at an operator's request. The operator has to make
// sure that the instance no longer dispatches work.
func (r *Runner) Expel(ctx context.Context, id api.InstanceID) error {
	if id == r.options.Instance {
		return reason.New(reason.BadRequest, "an instance does not expel itself; stop it instead").WithField("id")
	}
	for _, m := range r.Members() {
		if m.ID != id {
			continue
		}
		if m.State.Gone() {
			return nil
		}
		if !r.expel(ctx, Expel{ID: id, Incarnation: m.Incarnation}) {
			return reason.New(reason.StoreUnavailable, "the registration of %q could not be removed", id)
		}
		return nil
	}
	return reason.New(reason.NotFound, "no member %q", id).WithField("id")
}
