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

// simulation drives cores, one per instance, against simulated engines and callers.
// Each engine samples with its own salt from all tokens so far, so a token
// shows which engine generated it and after which prefix.
type simulation struct {
	rt            *rapid.T
	now           time.Duration
	cores         []*Core
	engines       []*simEngine
	callers       []*simCaller
	conns         map[uint64]*simCaller
	links         []*simLink
	pendingEvents []pendingEvent
	grants        map[uint64]bool
	lastID        uint64
	violation     error
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

// simLink is the connection of one attempt.
type simLink struct {
	core       int
	generation string
	engineID   string
	attempt    uint64
	stream     *simStream
	next       int // position of the next chunk to send
	closed     bool
	chunks     []Chunk // in flight
}

// simCaller follows one request over its connections.
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

func sampleToken(salt api.EndpointID, tokens []uint32) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprint(salt, hashTokens(tokens), len(tokens))))
}

func newSimulation(rt *rapid.T, o CoreOptions) *simulation {
	w := &simulation{rt: rt, conns: make(map[uint64]*simCaller), grants: make(map[uint64]bool), now: time.Second}
	for _, id := range []api.InstanceID{"i1", "i2"} {
		o.Instance = id
		w.cores = append(w.cores, NewCore(o))
	}
	for i := range 3 {
		id := api.EndpointID(fmt.Sprint("e", i))
		w.engines = append(w.engines, &simEngine{endpoint: api.Endpoint{ID: id}, streams: make(map[string]*simStream)})
	}
	return w
}

func (w *simulation) recordViolation(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

func (w *simulation) addCaller(stream bool, max int) *simCaller {
	n := len(w.callers)
	c := &simCaller{request: Request{
		Generation: fmt.Sprintf("%032d", n), Account: "a", Prompt: "p", MaxTokens: max, Stream: stream,
		Digest: api.Digest{byte(n)}, Deadline: w.now + time.Hour, Priority: api.PriorityInteractive,
	}}
	w.callers = append(w.callers, c)
	w.connect(c, 0, false)
	return c
}

// connect opens a newer connection of the caller to an instance.
func (w *simulation) connect(c *simCaller, core int, withPrefix bool) {
	w.lastID++
	c.request.ConnectionSalt = uint32(w.lastID)
	c.core, c.conn, c.finished, c.err, c.engineAccepted = core, w.lastID, false, nil, false
	w.conns[c.conn] = c
	request := c.request
	request.LastEventID, request.CallerPrefix, request.ResumeEndpoint = nil, nil, nil
	if c.lastEventID != nil && c.request.Stream {
		id := *c.lastEventID
		request.LastEventID = &id
		for _, e := range w.engines {
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
	w.step(core, CallerConnected{Conn: c.conn, Request: &request})
}

func (w *simulation) step(core int, ev Event) {
	actions := append([]Action(nil), w.cores[core].Step(w.now, ev)...)
	for _, action := range actions {
		w.apply(core, action)
	}
}

func (w *simulation) schedule(core int, delay time.Duration, ev Event) {
	w.pendingEvents = append(w.pendingEvents, pendingEvent{core, w.now + delay, ev})
}

func (w *simulation) engine(id api.EndpointID) *simEngine {
	for _, e := range w.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}

func (w *simulation) apply(core int, action Action) {
	switch action := action.(type) {
	case RequestPlacement:
		w.place(core, action)
	case OpenStream:
		w.open(core, action)
	case ReattachStream:
		w.reattach(core, action)
	case ProbeEndpoint:
		e := w.engine(action.Endpoint.ID)
		w.schedule(core, 2*time.Millisecond, ProbeFinished{Endpoint: action.Endpoint.ID, Alive: !e.crashed && !e.frozen, Refused: e.crashed})
	case CloseStream:
		w.closeStream(core, action)
	case ReleaseGrant:
		if !w.grants[action.Grant] {
			w.recordViolation("grant %d was released twice", action.Grant)
		}
		delete(w.grants, action.Grant)
	case DeliverToken:
		w.deliver(action)
	case DiscardResponse:
		if c := w.conns[action.Conn]; c.conn == action.Conn {
			c.tokens = nil
		}
	case FinishResponse:
		w.finish(action)
	case FetchPrefix:
		w.schedule(core, time.Millisecond, PrefixFetched{Generation: action.Generation})
	case NotifyTakeover:
		for i, id := range []api.InstanceID{"i1", "i2"} {
			if action.Instance == id {
				w.schedule(i, time.Millisecond, GenerationTakenOver{Generation: action.Generation, Attempt: action.Attempt})
			}
		}
	}
}

func (w *simulation) place(core int, action RequestPlacement) {
	var free []*simEngine
	for _, e := range w.engines {
		excluded := false
		for _, id := range action.Request.Exclude {
			excluded = excluded || id == e.endpoint.ID
		}
		if !excluded {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		w.schedule(core, time.Millisecond, PlacementFailed{
			Generation: action.Generation, Attempt: action.Attempt, Err: reason.New(reason.NoEndpoint, "none"),
		})
		return
	}
	w.lastID++
	w.grants[w.lastID] = true
	e := free[int(w.lastID)%len(free)]
	w.schedule(core, time.Millisecond, PlacementGranted{
		Generation: action.Generation, Attempt: action.Attempt, Grant: api.Grant{ID: w.lastID, Endpoint: e.endpoint},
	})
}

func (w *simulation) open(core int, action OpenStream) {
	e := w.engine(action.Endpoint.ID)
	if e.crashed {
		w.schedule(core, time.Millisecond, StreamClosed{Generation: action.Generation, Attempt: action.Attempt, Kind: ClosedConnectFailed})
		return
	}
	for _, c := range w.callers {
		if c.request.Generation == action.Generation && c.core == core {
			c.engineAccepted = true
		}
	}
	stream := &simStream{request: action.Request, tokens: append([]uint32(nil), action.Prefix...)}
	if e.streams[action.RequestID] != nil {
		w.recordViolation("the engine id %s was used twice", action.RequestID)
	}
	e.streams[action.RequestID] = stream
	w.link(core, action.Generation, action.RequestID, action.Attempt, stream, len(action.Prefix))
}

func (w *simulation) link(core int, generation, engineID string, attempt uint64, stream *simStream, next int) {
	stream.link = &simLink{core: core, generation: generation, engineID: engineID, attempt: attempt, stream: stream, next: next}
	w.links = append(w.links, stream.link)
}

func (w *simulation) reattach(core int, action ReattachStream) {
	e := w.engine(action.Endpoint.ID)
	stream := e.streams[action.RequestID]
	closed := StreamClosed{Generation: action.Generation, Attempt: action.Attempt, Kind: ClosedStreamNotFound}
	switch {
	case e.crashed:
		closed.Kind = ClosedConnectFailed
		w.schedule(core, time.Millisecond, closed)
	case stream == nil || action.From > len(stream.tokens):
		w.schedule(core, time.Millisecond, closed)
	default:
		if old := stream.link; old != nil && !old.closed {
			old.chunks = append(old.chunks, Chunk{RequestID: action.RequestID, Attempt: old.attempt, FinishReason: finishSuperseded})
		}
		w.link(core, action.Generation, action.RequestID, action.Attempt, stream, action.From)
	}
}

func (w *simulation) closeStream(core int, action CloseStream) {
	for _, l := range w.links {
		if l.core == core && l.generation == action.Generation && l.attempt == action.Attempt {
			l.closed = true
		}
	}
	e := w.engine(action.Endpoint.ID)
	if stream := e.streams[action.RequestID]; action.Cancel && stream != nil && stream.link != nil && stream.link.attempt == action.Attempt {
		delete(e.streams, action.RequestID)
	}
}

func (w *simulation) closeLink(l *simLink) {
	if !l.closed {
		l.closed = true
		w.schedule(l.core, time.Millisecond, StreamClosed{Generation: l.generation, Attempt: l.attempt, Kind: ClosedAfterSend})
	}
}

// deliver is the oracle of the tokens: each one is at the position that is due
// and was generated by the named engine after exactly what the caller has.
func (w *simulation) deliver(d DeliverToken) {
	c := w.conns[d.Conn]
	if c == nil || c.conn != d.Conn {
		return // to a connection that the caller has left
	}
	if c.finished {
		w.recordViolation("a token after the end")
	}
	if d.HasToken {
		if d.EventID.Position != len(c.tokens) {
			w.recordViolation("position %d, due is %d", d.EventID.Position, len(c.tokens))
		}
		if !w.isValidToken(c.tokens, d.Token) {
			w.recordViolation("the token at %d does not continue what the caller has", len(c.tokens))
		}
		c.tokens = append(c.tokens, d.Token)
		if d.EventID.Hash != hashTokens(c.tokens) {
			w.recordViolation("the event id at %d has a wrong prefix hash", d.EventID.Position)
		}
		id := d.EventID
		c.lastEventID = &id
	}
	c.complete = c.complete || d.FinishReason != ""
}

func (w *simulation) isValidToken(prefix []uint32, token uint32) bool {
	for _, e := range w.engines {
		if sampleToken(e.endpoint.ID, prefix) == token {
			return true
		}
	}
	return false
}

func (w *simulation) finish(f FinishResponse) {
	c := w.conns[f.Conn]
	if c == nil || c.conn != f.Conn {
		return
	}
	c.finished, c.err = true, f.Err
	switch {
	case f.Err == nil && (!c.complete || len(c.tokens) != c.request.MaxTokens):
		w.recordViolation("a complete answer has %d tokens of %d", len(c.tokens), c.request.MaxTokens)
	case f.Err != nil && f.Err.Run == reason.RunNo && c.engineAccepted:
		w.recordViolation("reported as not run, but an engine ran it: %s", f.Err.Reason)
	}
}

// advance lets engines generate, messages arrive and time pass.
func (w *simulation) advance(d time.Duration) {
	w.now += d
	for _, e := range w.engines {
		if e.crashed || e.frozen {
			continue
		}
		for _, s := range sortedStreams(e) {
			w.generate(e, s)
		}
	}
	for i := 0; i < len(w.links); i++ {
		l := w.links[i]
		for len(l.chunks) > 0 && !l.closed {
			chunk := l.chunks[0]
			l.chunks = l.chunks[1:]
			w.step(l.core, ChunkReceived{Generation: l.generation, Attempt: l.attempt, Chunk: chunk})
		}
	}
	due := w.pendingEvents
	w.pendingEvents = nil
	for _, p := range due {
		if p.at > w.now {
			w.pendingEvents = append(w.pendingEvents, p)
			continue
		}
		w.step(p.core, p.ev)
	}
	for i := range w.cores {
		w.step(i, Tick{})
	}
}

func sortedStreams(e *simEngine) []*simStream {
	var list []*simStream
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		list = append(list, e.streams[id])
	}
	return list
}

func (w *simulation) generate(e *simEngine, s *simStream) {
	if len(s.tokens) < s.request.MaxTokens {
		s.tokens = append(s.tokens, sampleToken(e.endpoint.ID, s.tokens))
	}
	l := s.link
	for l != nil && !l.closed && l.next < len(s.tokens) {
		chunk := Chunk{RequestID: l.engineID, Attempt: l.attempt, Position: l.next, HasToken: true, Token: s.tokens[l.next]}
		l.next++
		if l.next == s.request.MaxTokens {
			chunk.FinishReason = finishLength
		}
		l.chunks = append(l.chunks, chunk)
	}
}

// recoverAndFinish heals everything and lets the callers reconnect until they are done.
func (w *simulation) recoverAndFinish() error {
	for _, e := range w.engines {
		e.crashed, e.frozen = false, false
	}
	for range 3000 {
		if w.violation != nil {
			return w.violation
		}
		w.advance(20 * time.Millisecond)
		if w.idle() {
			return w.violation
		}
	}
	if w.violation != nil {
		return w.violation
	}
	return errors.New("answers did not end within a minute of healthy engines")
}

func (w *simulation) idle() bool {
	for _, c := range w.callers {
		if !c.finished {
			return false
		}
	}
	for _, core := range w.cores {
		if core.Live() > 0 {
			return false
		}
	}
	return len(w.grants) == 0 && len(w.pendingEvents) == 0
}
