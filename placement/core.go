package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// grant is a place that is in use.
type grant struct {
	endpoint *endpoint
	tokens   int
}

// endpoint is the state of one endpoint.
type endpoint struct {
	id          api.EndpointID
	running     int
	outstanding int
}

// Core decides. It has no I/O, clock, goroutine or global randomness.
type Core struct {
	options   CoreOptions
	config    *api.Config
	endpoints map[api.EndpointID]*endpoint
	grants    map[uint64]grant
	actions   []Action
}

// NewCore returns a core without a configuration.
func NewCore(o CoreOptions) *Core {
	return &Core{
		options:   o,
		endpoints: make(map[api.EndpointID]*endpoint),
		grants:    make(map[uint64]grant),
	}
}

// Step handles one event. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case ConfigChanged:
		c.config = e.Config
	case PlaceRequested:
		c.place(e)
	case PlaceCancelled:
		c.release(e.ID)
	case Progressed:
		c.progress(e)
	case Released:
		c.release(e.ID)
	}
	return c.actions
}

func (c *Core) place(e PlaceRequested) {
	if c.config == nil {
		c.refuse(e.ID, reason.New(reason.NotReady, "no configuration yet"))
		return
	}
	var best *endpoint
	known := false
	for id, configured := range c.config.Endpoints {
		if !c.allowed(id, configured, e.Request) {
			continue
		}
		known = true
		state := c.state(id)
		if state.running >= configured.Slots {
			continue
		}
		if best == nil || state.outstanding < best.outstanding {
			best = state
		}
	}
	switch {
	case best != nil:
		c.grant(e, best)
	case known:
		c.refuse(e.ID, reason.New(reason.NoSlot, "all slots are in use"))
	default:
		c.refuse(e.ID, reason.New(reason.NoEndpoint, "no endpoint is available"))
	}
}

func (c *Core) allowed(id api.EndpointID, configured api.Endpoint, request api.PlacementRequest) bool {
	if configured.Kind != request.Kind {
		return false
	}
	for _, excluded := range request.Exclude {
		if excluded == id {
			return false
		}
	}
	if request.SameRegionOnly && configured.Region != c.options.Place.Region {
		return false
	}
	return mayUse(c.config, id, c.options.Half, request)
}

// mayUse reports whether the configuration in force and the pending tickets
// allow the request on the endpoint. A service has no model.
func mayUse(config *api.Config, id api.EndpointID, half api.Half, request api.PlacementRequest) bool {
	if request.Kind != api.KindService {
		return config.MayServe(id, half, request.Account, request.Model)
	}
	return config.MayDispatch(id, half) && config.Endpoints[id].Admits(request.Account)
}

func (c *Core) state(id api.EndpointID) *endpoint {
	state, ok := c.endpoints[id]
	if !ok {
		state = &endpoint{id: id}
		c.endpoints[id] = state
	}
	return state
}

func (c *Core) grant(e PlaceRequested, chosen *endpoint) {
	chosen.running++
	chosen.outstanding += e.Request.Tokens
	c.grants[e.ID] = grant{endpoint: chosen, tokens: e.Request.Tokens}
	configured := c.config.Endpoints[chosen.id]
	c.actions = append(c.actions, Granted{Grant: api.Grant{
		ID:          e.ID,
		Endpoint:    configured,
		CrossRegion: configured.Region != c.options.Place.Region,
	}})
}

func (c *Core) refuse(id uint64, err *reason.Error) {
	c.actions = append(c.actions, Refused{ID: id, Err: err})
}

func (c *Core) progress(e Progressed) {
	g, ok := c.grants[e.ID]
	if !ok {
		return
	}
	done := min(e.Tokens, g.tokens)
	g.tokens -= done
	g.endpoint.outstanding -= done
	c.grants[e.ID] = g
}

func (c *Core) release(id uint64) {
	g, ok := c.grants[id]
	if !ok {
		return
	}
	g.endpoint.running--
	g.endpoint.outstanding -= g.tokens
	delete(c.grants, id)
}
