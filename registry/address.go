package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// conflicts is what is known of registrations that name the address of another one. An
// address has one endpoint.
type conflicts struct {
	// services are those of the version of the configuration; nil is unknown.
	services map[string]bool
	version  uint64
	// outranked are registrations that are in the store and not in use, since another one
	// has their address.
	outranked map[api.EndpointID]Endpoint
	// refuted are registrations whose address was answered by another endpoint.
	refuted map[api.EndpointID]Endpoint
	// freed are addresses whose endpoints have changed, so that an outranked registration
	// may be used again.
	freed map[string]bool
}

func newConflicts() conflicts {
	return conflicts{
		outranked: make(map[api.EndpointID]Endpoint), refuted: make(map[api.EndpointID]Endpoint), freed: make(map[string]bool),
	}
}

func (c *conflicts) forget(id api.EndpointID) {
	delete(c.outranked, id)
	delete(c.refuted, id)
}

// forgetExcept forgets the registrations that are not in the list.
func (c *conflicts) forgetExcept(listed map[api.EndpointID]bool) {
	maps.DeleteFunc(c.outranked, func(id api.EndpointID, _ Endpoint) bool { return !listed[id] })
	maps.DeleteFunc(c.refuted, func(id api.EndpointID, _ Endpoint) bool { return !listed[id] })
}

// outranks reports whether registration a takes the address of b. The later start does, if
// its service is listed and nobody else answered at the address: entries of other writers
// take nothing from those of endpoints.
func (c *conflicts) outranks(a, b Endpoint) bool {
	if a.Incarnation <= b.Incarnation && !c.isRefuted(b) {
		return false
	}
	return c.isListed(a.Service) && !c.isRefuted(a)
}

// isListed reports whether the configuration has the service. Without a configuration each
// service counts; what that takes from others is undone with the first one.
func (c *conflicts) isListed(service string) bool { return c.services == nil || c.services[service] }

func (c *conflicts) isRefuted(e Endpoint) bool {
	refuted, ok := c.refuted[e.ID]
	return ok && refuted.Same(e)
}

// resolveAddress removes the endpoints that the registration outranks at its address. It
// returns the one that outranks the registration itself, "" if there is none; the
// registration is then kept for later.
func (c *Core) resolveAddress(now time.Duration, endpoint Endpoint) (outrankedBy api.EndpointID) {
	delete(c.conflicts.outranked, endpoint.ID)
	for _, id := range slices.Clone(c.byAddress[endpoint.Address]) {
		if id == endpoint.ID {
			continue
		}
		other := c.entries[id].endpoint
		if c.conflicts.outranks(other, endpoint) {
			c.conflicts.outranked[endpoint.ID] = endpoint
			return id
		}
		if c.conflicts.outranks(endpoint, other) {
			c.removeTaken(now, c.entries[id], endpoint.ID)
			c.conflicts.outranked[id] = other
		}
	}
	return ""
}

// applyServices resolves the conflicts anew, since other services are listed.
func (c *Core) applyServices(now time.Duration, listed ServicesListed) {
	services := make(map[string]bool, len(listed.Services))
	for _, service := range listed.Services {
		services[service] = true
	}
	if listed.Version < c.conflicts.version {
		return
	}
	c.conflicts.version = listed.Version
	if c.conflicts.services != nil && maps.Equal(c.conflicts.services, services) {
		return
	}
	c.conflicts.services = services
	for _, address := range slices.Sorted(maps.Keys(c.byAddress)) {
		c.resolveAll(now, address)
	}
	for _, endpoint := range c.conflicts.outranked {
		c.conflicts.freed[endpoint.Address] = true
	}
}

// resolveAll removes the endpoints at an address that others outrank.
func (c *Core) resolveAll(now time.Duration, address string) {
	if len(c.byAddress[address]) < 2 {
		return
	}
	for _, id := range slices.Sorted(slices.Values(c.byAddress[address])) {
		known := c.entries[id]
		if known == nil {
			continue
		}
		if by := c.resolveAddress(now, known.endpoint); by != "" {
			c.removeTaken(now, known, by)
		}
	}
}

// applyAnswer prefers the registration of the endpoint that has answered at the address of
// another one.
func (c *Core) applyAnswer(now time.Duration, answer AddressAnswered) {
	asked := c.entries[answer.Asked.ID]
	actual, registered := c.conflicts.outranked[answer.By]
	if asked == nil || !asked.endpoint.Same(answer.Asked) || !registered || actual.Address != answer.Asked.Address {
		return
	}
	c.conflicts.refuted[answer.Asked.ID] = answer.Asked
	delete(c.conflicts.refuted, answer.By)
	c.applyRegistration(now, actual)
	c.resolveAll(now, actual.Address)
	c.conflicts.freed[actual.Address] = true
}

// reinstate uses outranked registrations at addresses that are free again.
func (c *Core) reinstate(now time.Duration) {
	for len(c.conflicts.freed) > 0 {
		freed := c.conflicts.freed
		c.conflicts.freed = make(map[string]bool)
		for _, id := range slices.Sorted(maps.Keys(c.conflicts.outranked)) {
			if endpoint, ok := c.conflicts.outranked[id]; ok && freed[endpoint.Address] {
				c.applyRegistration(now, endpoint)
			}
		}
	}
}

// applyReplacement replaces an endpoint by the one that has its address now. A registration
// of that one stays as it is, because only a registration names the service.
func (c *Core) applyReplacement(now time.Duration, observed ReplacementObserved) {
	replaced, ok := c.entries[observed.Replaces]
	if !ok || replaced.endpoint.Address != observed.Endpoint.Address || observed.Replaces == observed.Endpoint.ID {
		return
	}
	c.remove(now, replaced)
	_, outranked := c.conflicts.outranked[observed.Endpoint.ID]
	if c.entries[observed.Endpoint.ID] == nil && !outranked {
		c.applyRegistration(now, observed.Endpoint)
	}
}

func (c *Core) indexAddress(endpoint Endpoint) {
	c.byAddress[endpoint.Address] = append(c.byAddress[endpoint.Address], endpoint.ID)
}

func (c *Core) unindexAddress(endpoint Endpoint) {
	if len(c.conflicts.outranked) > 0 {
		c.conflicts.freed[endpoint.Address] = true
	}
	remaining := slices.DeleteFunc(c.byAddress[endpoint.Address], func(id api.EndpointID) bool { return id == endpoint.ID })
	if len(remaining) == 0 {
		delete(c.byAddress, endpoint.Address)
		return
	}
	c.byAddress[endpoint.Address] = remaining
}
