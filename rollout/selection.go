package rollout

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Selection decides which versions the requests of one instance may be sent to, and
// counts what becomes of them. It is not safe for concurrent use.
type Selection struct {
	instance    api.InstanceID
	incarnation uint64
	endpoints   map[api.EndpointID]Endpoint
	coldUntil   map[api.EndpointID]time.Duration
	services    map[string]*selected
	outcomes    outcomes
	crashes     crashes
}

// selected is what is known of a service with several versions.
type selected struct {
	// versions are those with endpoints that accept requests, sorted.
	versions []Version
	// several says that several versions are registered, also if one is draining.
	several bool
	// singleAt is when the second version was last removed, if several is false.
	singleAt time.Duration
	// base is the version that is used without a valid grant.
	base      Version
	grant     Grant
	grantedAt time.Duration
	// openedAt is when the version of the grant may first have received requests.
	openedAt time.Duration
	excluded map[api.EndpointID]bool
}

// coldTime is how long the latency of a version is not counted after it receives its
// first requests. Endpoints can be cold for some seconds although their registrations do
// not say so.
const coldTime = 3 * time.Second

// countsLifetime is how long the counts are kept after a second version was removed. The
// endpoints of a version that crashes them all are back after some seconds, and its
// failures must not be lost.
const countsLifetime = time.Minute

// NewSelection returns a selection of an instance without endpoints. A restarted
// instance has a higher incarnation.
func NewSelection(instance api.InstanceID, incarnation uint64) *Selection {
	return &Selection{
		instance: instance, incarnation: incarnation,
		endpoints: make(map[api.EndpointID]Endpoint),
		coldUntil: make(map[api.EndpointID]time.Duration),
		services:  make(map[string]*selected),
		outcomes:  newOutcomes(),
		crashes:   make(crashes),
	}
}

// SetEndpoints replaces the endpoints of all services by those that are registered. An
// endpoint with a new incarnation has crashed in the earlier one, unless it was draining.
func (s *Selection) SetEndpoints(now time.Duration, endpoints []Endpoint) {
	before := s.endpoints
	s.endpoints = make(map[api.EndpointID]Endpoint, len(endpoints))
	byService := make(map[string][]Endpoint)
	for _, e := range endpoints {
		if old, ok := before[e.ID]; ok && old.Incarnation != e.Incarnation && !old.Draining {
			s.crashes.add(now, old)
		}
		s.endpoints[e.ID] = e
		byService[e.Service] = append(byService[e.Service], e)
		// The registration is not renewed while the endpoint becomes warm, so the first
		// one of an incarnation counts.
		if old, ok := before[e.ID]; !ok || old.Incarnation != e.Incarnation {
			s.coldUntil[e.ID] = now + e.ColdRemaining
		} else {
			s.coldUntil[e.ID] = min(s.coldUntil[e.ID], now+e.ColdRemaining)
		}
	}
	for id := range before {
		if _, ok := s.endpoints[id]; !ok {
			delete(s.coldUntil, id)
		}
	}
	for service, list := range byService {
		s.setVersions(now, service, list)
	}
	for service := range s.services {
		if byService[service] == nil {
			s.forget(service)
		}
	}
}

// setVersions updates a service with its endpoints.
func (s *Selection) setVersions(now time.Duration, service string, endpoints []Endpoint) {
	usable := slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return e.Draining })
	versions := versionsOf(usable)
	known := s.services[service]
	several := len(versionsOf(endpoints)) > 1
	if !several {
		// The base version is remembered, so that a second version is recognized as new.
		singleAt := now
		if known != nil && !known.several {
			singleAt = known.singleAt
		}
		if known == nil || len(versions) > 0 && !slices.Contains(versions, known.base) {
			known = &selected{base: earliestVersion(endpoints, "")}
			s.services[service] = known
		}
		known.versions, known.several, known.excluded, known.grant = versions, false, nil, Grant{}
		known.singleAt = singleAt
		return
	}
	if known == nil {
		known = &selected{base: earliestVersion(endpoints, "")}
		s.services[service] = known
	}
	known.versions, known.several = versions, true
	if len(versions) > 0 && !slices.Contains(versions, known.base) {
		known.base = earliestVersion(usable, known.notBase())
	}
	s.exclude(service, known)
}

// notBase returns the version that is not used as the base version while there is
// another one, or none.
func (k *selected) notBase() Version {
	if k.grant.State == StateComplete {
		return ""
	}
	return k.grant.To
}

func (s *Selection) forget(service string) {
	s.outcomes.forget(service)
	delete(s.services, service)
}

// SetGrant applies the grant that the coordinator gave at a time. A grant that is no
// longer valid still tells the base version.
func (s *Selection) SetGrant(at time.Duration, g Grant) {
	known := s.services[g.Service]
	if known == nil || known.grant.To != "" && at < known.grantedAt {
		return
	}
	if known.grant.To == g.To && known.grant.State.Final() && !g.State.Final() && g.To != "" && known.grantedAt+GrantLifetime > at {
		return // from a coordinator that has not read the final status yet
	}
	if g.To != known.grant.To {
		known.openedAt = 0
	}
	if g.Share > 0 && known.openedAt == 0 {
		known.openedAt = at
	}
	before := known.grant
	known.grant, known.grantedAt = g, at
	switch {
	case g.To == "":
	case g.State == StateComplete && slices.Contains(known.versions, g.To):
		known.base = g.To
	case g.State != StateComplete && known.base == g.To:
		known.base = earliestVersion(s.usable(g.Service), g.To)
	}
	if g.To != before.To || g.State != before.State || g.CanaryEngines != before.CanaryEngines {
		s.exclude(g.Service, known)
	}
}

// usable returns the endpoints of a service that accept requests.
func (s *Selection) usable(service string) []Endpoint {
	var list []Endpoint
	for _, e := range s.endpoints {
		if e.Service == service && !e.Draining {
			list = append(list, e)
		}
	}
	return list
}

// Allowed returns the versions that a new request may be sent to; nil is all.
func (s *Selection) Allowed(now time.Duration, service, requestID string) []string {
	known := s.services[service]
	if known == nil || len(known.versions) < 2 {
		return nil
	}
	if g := known.grant; known.mayUse(now, g.To) && requestFraction(service, g.To, requestID) < g.Share {
		return []string{string(g.To)}
	}
	return []string{string(known.base)}
}

// mayUse reports whether the grant is valid and allows requests to a version.
func (k *selected) mayUse(now time.Duration, to Version) bool {
	g := k.grant
	return g.To != "" && g.To == to && g.State == StateRunning && g.Share > 0 && now-k.grantedAt < g.ValidFor && slices.Contains(k.versions, to)
}

// Continue returns the versions that a continuation or a backup may be sent to of a
// stream that began on a version: that version while it has endpoints. The endpoints of
// a reverted version stay until they have drained.
func (s *Selection) Continue(service, version string) []string {
	known := s.services[service]
	switch {
	case known == nil || len(known.versions) < 2:
		return nil
	case known.grant.State == StateComplete && slices.Contains(known.versions, known.grant.To):
		return []string{string(known.base)} // the endpoints of the old version stop at once
	case slices.Contains(known.versions, Version(version)):
		return []string{version}
	}
	return []string{string(known.base)}
}

// Excluded returns the endpoints of the new version that may receive no new requests
// because only a part of them is in use; nil is none.
func (s *Selection) Excluded(service string) map[api.EndpointID]bool {
	if known := s.services[service]; known != nil {
		return known.excluded
	}
	return nil
}

// exclude chooses the endpoints of the new version that are in use, the same at all
// instances.
func (s *Selection) exclude(service string, known *selected) {
	known.excluded = nil
	g := known.grant
	if g.To == "" || g.State != StateRunning || g.CanaryEngines <= 0 {
		return
	}
	type scored struct {
		id    api.EndpointID
		score uint64
	}
	var all []scored
	for _, e := range s.usable(service) {
		if e.Version == g.To {
			all = append(all, scored{id: e.ID, score: xxhash.Sum64String(service + "\x00" + string(g.To) + "\x00" + string(e.ID))})
		}
	}
	if len(all) <= g.CanaryEngines {
		return
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id))
	})
	known.excluded = make(map[api.EndpointID]bool, len(all)-g.CanaryEngines)
	for _, e := range all[g.CanaryEngines:] {
		known.excluded[e.id] = true
	}
}

// Record counts an outcome of a request. Requests of services with only one version are
// not counted.
func (s *Selection) Record(now time.Duration, service, route, version string, o Outcome) {
	if o.Kind != OutcomeSent {
		s.outcomes.record(now, o)
		return
	}
	if !s.Reporting(service) {
		return
	}
	e := s.endpoints[o.Endpoint]
	known := s.services[service]
	s.outcomes.sent(now, o.Request, attempt{
		service: service, key: countKey{route: route, version: Version(version)}, endpoint: e, target: o.Target,
		cold: now < s.coldUntil[o.Endpoint] || e.Version == known.grant.To && now-known.openedAt < coldTime,
	})
}

// EndpointCrashed reports that an incarnation of an endpoint has crashed: that it
// accepts no connections or has restarted, as far as this instance or another one knows.
func (s *Selection) EndpointCrashed(now time.Duration, id api.EndpointID, start int64) {
	if e, ok := s.endpoints[id]; ok && e.Incarnation == start {
		s.crashes.add(now, e)
	}
}

// Reporting reports whether a service has several versions, so that the instance has
// to report to the coordinator.
func (s *Selection) Reporting(service string) bool {
	known := s.services[service]
	return known != nil && known.several
}

// Reports returns the reports of all services with several versions, in a stable order.
func (s *Selection) Reports(now time.Duration) []Report {
	s.outcomes.settleBroken(now, func(at time.Duration, e Endpoint) bool {
		return s.crashes.domainFailed(at, e, s.endpoints)
	})
	s.crashes.expire(now)
	var reports []Report
	for service, known := range s.services {
		if !known.several && now-known.singleAt > countsLifetime {
			s.outcomes.forget(service)
		}
		if s.Reporting(service) {
			reports = append(reports, Report{
				Instance: s.instance, Incarnation: s.incarnation, Service: service, Counts: s.outcomes.report(now, service),
			})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// versionsOf returns the versions of endpoints, sorted.
func versionsOf(endpoints []Endpoint) []Version {
	var versions []Version
	for _, e := range endpoints {
		versions = append(versions, e.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// earliestVersion returns the version of the endpoint that started first, of another
// version than except if there is one.
func earliestVersion(endpoints []Endpoint, except Version) Version {
	if len(endpoints) == 0 {
		return ""
	}
	return slices.MinFunc(endpoints, func(a, b Endpoint) int {
		excepted := func(e Endpoint) int {
			if except != "" && e.Version == except {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(excepted(a), excepted(b)), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version))
	}).Version
}

// requestFraction maps a request to a number from 0 to 1, so that a request that may go
// to the new version still may when the share grows.
func requestFraction(service string, to Version, requestID string) float64 {
	h := xxhash.New()
	for _, part := range []string{service, string(to), requestID} {
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = h.WriteString(part)
	}
	return float64(h.Sum64()) / math.MaxUint64
}
