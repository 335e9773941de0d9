package generation

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// simulation runs cores, one per instance, against simulated engines and callers.
// Each engine derives a token from its own ID and all tokens before, so a token
// shows which engine generated it and after which prefix.
type simulation struct {
	rt            *rapid.T
	now           time.Duration
	cores         []*Core
	engines       []*simEngine
	callers       []*simCaller
	connections   map[uint64]*simCaller
	links         []*simLink
	pendingEvents []pendingEvent
	grants        map[uint64]bool
	lastID        uint64 // of connections and grants
	violation     error  // the first violated invariant
}

type pendingEvent struct {
	core int
	at   time.Duration
	ev   Event
}

type simEngine struct {
	endpoint api.Endpoint
	crashed  bool
	frozen   bool
	streams  map[string]*simStream
}

type simStream struct {
	request *Request
	tokens  []uint32
	link    *simLink
}

// simLink is the connection of one attempt to an engine.
type simLink struct {
	core         int
	generation   string
	requestID    string
	attempt      uint64
	stream       *simStream
	nextPosition int // position of the next chunk to send
	closed       bool
	chunks       []Chunk // in flight
}

// simCaller is the caller of one request over all of its connections.
type simCaller struct {
	request        Request
	core           int
	conn           uint64
	tokens         []uint32
	lastEventID    *EventID
	finished       bool
	complete       bool
	err            *reason.Error
	engineAccepted bool // an engine accepted the request for this connection
}

func sampleToken(engine api.EndpointID, tokens []uint32) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprint(engine, hashTokens(tokens), len(tokens))))
}

func newSimulation(rt *rapid.T, o CoreOptions) *simulation {
	sim := &simulation{rt: rt, connections: make(map[uint64]*simCaller), grants: make(map[uint64]bool), now: time.Second}
	for _, id := range []api.InstanceID{"i1", "i2"} {
		o.Instance = id
		sim.cores = append(sim.cores, NewCore(o))
	}
	for i := range 3 {
		id := api.EndpointID(fmt.Sprint("e", i))
		sim.engines = append(sim.engines, &simEngine{endpoint: api.Endpoint{ID: id}, streams: make(map[string]*simStream)})
	}
	return sim
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) addCaller(stream bool, maxTokens int) *simCaller {
	n := len(sim.callers)
	c := &simCaller{request: Request{
		Generation: fmt.Sprintf("%032d", n), Account: "a", Prompt: "p", MaxTokens: maxTokens, Stream: stream,
		Digest: api.Digest{byte(n)}, Deadline: sim.now + time.Hour, Priority: api.PriorityInteractive,
	}}
	sim.callers = append(sim.callers, c)
	sim.connect(c, 0, false)
	return c
}

// connect opens a new connection of the caller to an instance, which resumes after
// the last event ID if the caller has one.
func (sim *simulation) connect(c *simCaller, core int, withPrefix bool) {
	sim.lastID++
	c.request.ConnectionSalt = uint32(sim.lastID)
	c.core, c.conn, c.finished, c.err, c.engineAccepted = core, sim.lastID, false, nil, false
	sim.connections[c.conn] = c
	request := c.request
	request.LastEventID, request.CallerPrefix, request.ResumeEndpoint = nil, nil, nil
	if c.lastEventID != nil && c.request.Stream {
		id := *c.lastEventID
		request.LastEventID = &id
		for _, e := range sim.engines {
			if e.endpoint.ID == id.Endpoint {
				request.ResumeEndpoint = &e.endpoint
			}
		}
		if withPrefix {
			request.CallerPrefix = append([]uint32(nil), c.tokens...)
		}
	} else {
		c.tokens = nil
	}
	sim.step(core, CallerConnected{Conn: c.conn, Request: &request})
}

func (sim *simulation) step(core int, ev Event) {
	actions := append([]Action(nil), sim.cores[core].Step(sim.now, ev)...)
	for _, action := range actions {
		sim.apply(core, action)
	}
}

func (sim *simulation) schedule(core int, delay time.Duration, ev Event) {
	sim.pendingEvents = append(sim.pendingEvents, pendingEvent{core, sim.now + delay, ev})
}

func (sim *simulation) engine(id api.EndpointID) *simEngine {
	for _, e := range sim.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}

func (sim *simulation) apply(core int, action Action) {
	switch action := action.(type) {
	case RequestPlacement:
		sim.placeRequest(core, action)
	case OpenStream:
		sim.openStream(core, action)
	case ReattachStream:
		sim.reattachStream(core, action)
	case ProbeEndpoint:
		e := sim.engine(action.Endpoint.ID)
		sim.schedule(core, 2*time.Millisecond, ProbeFinished{Endpoint: action.Endpoint.ID, Alive: !e.crashed && !e.frozen, Crashed: e.crashed})
	case CloseStream:
		sim.closeStream(core, action)
	case ReleaseGrant:
		if !sim.grants[action.Grant] {
			sim.recordViolation("grant %d was released twice", action.Grant)
		}
		delete(sim.grants, action.Grant)
	case DeliverToken:
		sim.deliver(action)
	case DiscardResponse:
		if c := sim.connections[action.Conn]; c.conn == action.Conn {
			c.tokens = nil
		}
	case FinishResponse:
		sim.finish(action)
	case FetchPrefix:
		sim.schedule(core, time.Millisecond, PrefixFetched{Generation: action.Generation})
	case NotifyTakeover:
		for i, id := range []api.InstanceID{"i1", "i2"} {
			if action.Instance == id {
				sim.schedule(i, time.Millisecond, GenerationTakenOver{Generation: action.Generation, Attempt: action.Attempt})
			}
		}
	}
}

func (sim *simulation) placeRequest(core int, action RequestPlacement) {
	var candidates []*simEngine
	for _, e := range sim.engines {
		excluded := false
		for _, id := range action.Request.Exclude {
			excluded = excluded || id == e.endpoint.ID
		}
		if !excluded {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		sim.schedule(core, time.Millisecond, PlacementFailed{
			Generation: action.Generation, Attempt: action.Attempt, Err: reason.New(reason.NoEndpoint, "none"),
		})
		return
	}
	sim.lastID++
	sim.grants[sim.lastID] = true
	e := candidates[int(sim.lastID)%len(candidates)]
	sim.schedule(core, time.Millisecond, PlacementGranted{
		Generation: action.Generation, Attempt: action.Attempt, Grant: api.Grant{ID: sim.lastID, Endpoint: e.endpoint},
	})
}

func (sim *simulation) openStream(core int, action OpenStream) {
	e := sim.engine(action.Endpoint.ID)
	if e.crashed {
		sim.schedule(core, time.Millisecond, StreamClosed{Generation: action.Generation, Attempt: action.Attempt, Kind: ClosedConnectFailed})
		return
	}
	for _, c := range sim.callers {
		if c.request.Generation == action.Generation && c.core == core {
			c.engineAccepted = true
		}
	}
	stream := &simStream{request: action.Request, tokens: append([]uint32(nil), action.Prefix...)}
	if e.streams[action.RequestID] != nil {
		sim.recordViolation("the engine request id %s was used twice", action.RequestID)
	}
	e.streams[action.RequestID] = stream
	sim.openLink(core, action.Generation, action.RequestID, action.Attempt, stream, len(action.Prefix))
}

func (sim *simulation) openLink(core int, generation, requestID string, attempt uint64, stream *simStream, nextPosition int) {
	stream.link = &simLink{core: core, generation: generation, requestID: requestID, attempt: attempt, stream: stream, nextPosition: nextPosition}
	sim.links = append(sim.links, stream.link)
}

func (sim *simulation) reattachStream(core int, action ReattachStream) {
	e := sim.engine(action.Endpoint.ID)
	stream := e.streams[action.RequestID]
	closed := StreamClosed{Generation: action.Generation, Attempt: action.Attempt, Kind: ClosedStreamNotFound}
	switch {
	case e.crashed:
		closed.Kind = ClosedConnectFailed
		sim.schedule(core, time.Millisecond, closed)
	case stream == nil || action.From > len(stream.tokens):
		sim.schedule(core, time.Millisecond, closed)
	default:
		if old := stream.link; old != nil && !old.closed {
			old.chunks = append(old.chunks, Chunk{RequestID: action.RequestID, Attempt: old.attempt, FinishReason: finishSuperseded})
		}
		sim.openLink(core, action.Generation, action.RequestID, action.Attempt, stream, action.From)
	}
}

func (sim *simulation) closeStream(core int, action CloseStream) {
	for _, l := range sim.links {
		if l.core == core && l.generation == action.Generation && l.attempt == action.Attempt {
			l.closed = true
		}
	}
	e := sim.engine(action.Endpoint.ID)
	if stream := e.streams[action.RequestID]; action.Cancel && stream != nil && stream.link != nil && stream.link.attempt == action.Attempt {
		delete(e.streams, action.RequestID)
	}
}

func (sim *simulation) closeLink(l *simLink) {
	if !l.closed {
		l.closed = true
		sim.schedule(l.core, time.Millisecond, StreamClosed{Generation: l.generation, Attempt: l.attempt, Kind: ClosedAfterSend})
	}
}

// deliver is the test oracle for tokens: each one has the caller's next position
// and was generated by an engine after exactly the tokens that the caller has.
func (sim *simulation) deliver(d DeliverToken) {
	c := sim.connections[d.Conn]
	if c == nil || c.conn != d.Conn {
		return // an older connection of the caller
	}
	if c.finished {
		sim.recordViolation("a token or an end was delivered after the end of the response")
	}
	if d.HasToken {
		if d.EventID.Position != len(c.tokens) {
			sim.recordViolation("position %d was delivered, expected %d", d.EventID.Position, len(c.tokens))
		}
		if !sim.isValidToken(c.tokens, d.Token) {
			sim.recordViolation("the token at position %d does not continue the caller's tokens", len(c.tokens))
		}
		c.tokens = append(c.tokens, d.Token)
		if d.EventID.Hash != hashTokens(c.tokens) {
			sim.recordViolation("the event id at position %d has a wrong prefix hash", d.EventID.Position)
		}
		id := d.EventID
		c.lastEventID = &id
	}
	c.complete = c.complete || d.FinishReason != ""
}

func (sim *simulation) isValidToken(prefix []uint32, token uint32) bool {
	for _, e := range sim.engines {
		if sampleToken(e.endpoint.ID, prefix) == token {
			return true
		}
	}
	return false
}

func (sim *simulation) finish(f FinishResponse) {
	c := sim.connections[f.Conn]
	if c == nil || c.conn != f.Conn {
		return
	}
	c.finished, c.err = true, f.Err
	switch {
	case f.Err == nil && (!c.complete || len(c.tokens) != c.request.MaxTokens):
		sim.recordViolation("a complete response has %d tokens of %d", len(c.tokens), c.request.MaxTokens)
	case f.Err != nil && f.Err.Run == reason.RunNo && c.engineAccepted:
		sim.recordViolation("an error with reason %s reports not run, but an engine accepted the request", f.Err.Reason)
	}
}

// advance moves the clock, generates one token on each stream of a working engine,
// and delivers the chunks and events that are due.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for _, e := range sim.engines {
		if e.crashed || e.frozen {
			continue
		}
		for _, s := range sortedStreams(e) {
			sim.generate(e, s)
		}
	}
	for i := 0; i < len(sim.links); i++ {
		l := sim.links[i]
		for len(l.chunks) > 0 && !l.closed {
			chunk := l.chunks[0]
			l.chunks = l.chunks[1:]
			sim.step(l.core, ChunkReceived{Generation: l.generation, Attempt: l.attempt, Chunk: chunk})
		}
	}
	due := sim.pendingEvents
	sim.pendingEvents = nil
	for _, p := range due {
		if p.at > sim.now {
			sim.pendingEvents = append(sim.pendingEvents, p)
			continue
		}
		sim.step(p.core, p.ev)
	}
	for i := range sim.cores {
		sim.step(i, Tick{})
	}
}

func sortedStreams(e *simEngine) []*simStream {
	var list []*simStream
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		list = append(list, e.streams[id])
	}
	return list
}

func (sim *simulation) generate(e *simEngine, s *simStream) {
	if len(s.tokens) < s.request.MaxTokens {
		s.tokens = append(s.tokens, sampleToken(e.endpoint.ID, s.tokens))
	}
	l := s.link
	for l != nil && !l.closed && l.nextPosition < len(s.tokens) {
		chunk := Chunk{RequestID: l.requestID, Attempt: l.attempt, Position: l.nextPosition, HasToken: true, Token: s.tokens[l.nextPosition]}
		l.nextPosition++
		if l.nextPosition == s.request.MaxTokens {
			chunk.FinishReason = finishLength
		}
		l.chunks = append(l.chunks, chunk)
	}
}

// recoverAndFinish repairs all engines and advances until all responses have ended
// and all grants are released.
func (sim *simulation) recoverAndFinish() error {
	for _, e := range sim.engines {
		e.crashed, e.frozen = false, false
	}
	for range 3000 {
		if sim.violation != nil {
			return sim.violation
		}
		sim.advance(20 * time.Millisecond)
		if sim.idle() {
			return sim.violation
		}
	}
	if sim.violation != nil {
		return sim.violation
	}
	return errors.New("responses, grants or events were left after a minute with working engines")
}

func (sim *simulation) idle() bool {
	for _, c := range sim.callers {
		if !c.finished {
			return false
		}
	}
	for _, core := range sim.cores {
		if core.ActiveCount() > 0 {
			return false
		}
	}
	return len(sim.grants) == 0 && len(sim.pendingEvents) == 0
}
