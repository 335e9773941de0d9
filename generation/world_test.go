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

// world drives cores, one per instance, against simulated engines and callers.
// Each engine samples with its own salt from all tokens so far, so a token
// shows which engine generated it and after which prefix.
type world struct {
	rt      *rapid.T
	now     time.Duration
	cores   []*Core
	engines []*simEngine
	callers []*simCaller
	conns   map[uint64]*simCaller
	links   []*simLink
	pending []pendingEvent
	grants  map[uint64]bool
	serial  uint64
	err     error
}

type pendingEvent struct {
	core int
	at   time.Duration
	ev   Event
}

type simEngine struct {
	endpoint api.Endpoint
	dead     bool
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
	request  Request
	core     int
	conn     uint64
	tokens   []uint32
	lastID   *EventID
	finished bool
	complete bool
	err      *reason.Error
	ran      bool // an engine accepted the request for this connection
}

func sample(salt api.EndpointID, tokens []uint32) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprint(salt, hashTokens(tokens), len(tokens))))
}

func newWorld(rt *rapid.T, o CoreOptions) *world {
	w := &world{rt: rt, conns: make(map[uint64]*simCaller), grants: make(map[uint64]bool), now: time.Second}
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

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *world) addCaller(stream bool, max int) *simCaller {
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
func (w *world) connect(c *simCaller, core int, withPrefix bool) {
	w.serial++
	c.request.Salt = uint32(w.serial)
	c.core, c.conn, c.finished, c.err, c.ran = core, w.serial, false, nil, false
	w.conns[c.conn] = c
	request := c.request
	request.Resume, request.Prefix, request.ResumeEndpoint = nil, nil, nil
	if c.lastID != nil && c.request.Stream {
		id := *c.lastID
		request.Resume = &id
		for _, e := range w.engines {
			if e.endpoint.ID == id.Endpoint {
				request.ResumeEndpoint = &e.endpoint
			}
		}
		if withPrefix {
			request.Prefix = append([]uint32(nil), c.tokens...)
		}
	} else {
		c.tokens = nil
	}
	w.step(core, Start{Conn: c.conn, Request: &request})
}

func (w *world) step(core int, ev Event) {
	actions := append([]Action(nil), w.cores[core].Step(w.now, ev)...)
	for _, action := range actions {
		w.apply(core, action)
	}
}

func (w *world) later(core int, delay time.Duration, ev Event) {
	w.pending = append(w.pending, pendingEvent{core, w.now + delay, ev})
}

func (w *world) engine(id api.EndpointID) *simEngine {
	for _, e := range w.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}

func (w *world) apply(core int, action Action) {
	switch action := action.(type) {
	case Place:
		w.place(core, action)
	case Open:
		w.open(core, action)
	case Reattach:
		w.reattach(core, action)
	case Probe:
		e := w.engine(action.Endpoint.ID)
		w.later(core, 2*time.Millisecond, Probed{Endpoint: action.Endpoint.ID, Alive: !e.dead && !e.frozen, Refused: e.dead})
	case CloseStream:
		w.closeStream(core, action)
	case Release:
		if !w.grants[action.Grant] {
			w.fail("grant %d was released twice", action.Grant)
		}
		delete(w.grants, action.Grant)
	case Deliver:
		w.deliver(action)
	case Restarted:
		if c := w.conns[action.Conn]; c.conn == action.Conn {
			c.tokens = nil
		}
	case Finish:
		w.finish(action)
	case FetchPrefix:
		w.later(core, time.Millisecond, PrefixFetched{Generation: action.Generation})
	case NotifyTakeover:
		for i, id := range []api.InstanceID{"i1", "i2"} {
			if action.Instance == id {
				w.later(i, time.Millisecond, TakenOver{Generation: action.Generation, Attempt: action.Attempt})
			}
		}
	}
}

func (w *world) place(core int, action Place) {
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
		w.later(core, time.Millisecond, PlaceFailed{
			Generation: action.Generation, Attempt: action.Attempt, Err: reason.New(reason.NoEndpoint, "none"),
		})
		return
	}
	w.serial++
	w.grants[w.serial] = true
	e := free[int(w.serial)%len(free)]
	w.later(core, time.Millisecond, Placed{
		Generation: action.Generation, Attempt: action.Attempt, Grant: api.Grant{ID: w.serial, Endpoint: e.endpoint},
	})
}

func (w *world) open(core int, action Open) {
	e := w.engine(action.Endpoint.ID)
	if e.dead {
		w.later(core, time.Millisecond, Closed{Generation: action.Generation, Attempt: action.Attempt, Kind: ClosedConnect})
		return
	}
	for _, c := range w.callers {
		if c.request.Generation == action.Generation && c.core == core {
			c.ran = true
		}
	}
	stream := &simStream{request: action.Request, tokens: append([]uint32(nil), action.Prefix...)}
	if e.streams[action.EngineID] != nil {
		w.fail("the engine id %s was used twice", action.EngineID)
	}
	e.streams[action.EngineID] = stream
	w.link(core, action.Generation, action.EngineID, action.Attempt, stream, len(action.Prefix))
}

func (w *world) link(core int, generation, engineID string, attempt uint64, stream *simStream, next int) {
	stream.link = &simLink{core: core, generation: generation, engineID: engineID, attempt: attempt, stream: stream, next: next}
	w.links = append(w.links, stream.link)
}

func (w *world) reattach(core int, action Reattach) {
	e := w.engine(action.Endpoint.ID)
	stream := e.streams[action.EngineID]
	closed := Closed{Generation: action.Generation, Attempt: action.Attempt, Kind: ClosedUnknown}
	switch {
	case e.dead:
		closed.Kind = ClosedConnect
		w.later(core, time.Millisecond, closed)
	case stream == nil || action.From > len(stream.tokens):
		w.later(core, time.Millisecond, closed)
	default:
		if old := stream.link; old != nil && !old.closed {
			old.chunks = append(old.chunks, Chunk{RequestID: action.EngineID, Attempt: old.attempt, Finish: finishSuperseded})
		}
		w.link(core, action.Generation, action.EngineID, action.Attempt, stream, action.From)
	}
}

func (w *world) closeStream(core int, action CloseStream) {
	for _, l := range w.links {
		if l.core == core && l.generation == action.Generation && l.attempt == action.Attempt {
			l.closed = true
		}
	}
	e := w.engine(action.Endpoint.ID)
	if stream := e.streams[action.EngineID]; action.Cancel && stream != nil && stream.link != nil && stream.link.attempt == action.Attempt {
		delete(e.streams, action.EngineID)
	}
}

func (w *world) closeLink(l *simLink) {
	if !l.closed {
		l.closed = true
		w.later(l.core, time.Millisecond, Closed{Generation: l.generation, Attempt: l.attempt, Kind: ClosedMidway})
	}
}

// deliver is the oracle of the tokens: each one is at the position that is due
// and was generated by the named engine after exactly what the caller has.
func (w *world) deliver(d Deliver) {
	c := w.conns[d.Conn]
	if c == nil || c.conn != d.Conn {
		return // to a connection that the caller has left
	}
	if c.finished {
		w.fail("a token after the end")
	}
	if d.HasToken {
		if d.ID.Position != len(c.tokens) {
			w.fail("position %d, due is %d", d.ID.Position, len(c.tokens))
		}
		if !w.generated(c.tokens, d.Token) {
			w.fail("the token at %d does not continue what the caller has", len(c.tokens))
		}
		c.tokens = append(c.tokens, d.Token)
		if d.ID.Hash != hashTokens(c.tokens) {
			w.fail("the event id at %d has a wrong prefix hash", d.ID.Position)
		}
		id := d.ID
		c.lastID = &id
	}
	c.complete = c.complete || d.Finish != ""
}

func (w *world) generated(prefix []uint32, token uint32) bool {
	for _, e := range w.engines {
		if sample(e.endpoint.ID, prefix) == token {
			return true
		}
	}
	return false
}

func (w *world) finish(f Finish) {
	c := w.conns[f.Conn]
	if c == nil || c.conn != f.Conn {
		return
	}
	c.finished, c.err = true, f.Err
	switch {
	case f.Err == nil && (!c.complete || len(c.tokens) != c.request.MaxTokens):
		w.fail("a complete answer has %d tokens of %d", len(c.tokens), c.request.MaxTokens)
	case f.Err != nil && f.Err.Run == reason.RunNo && c.ran:
		w.fail("reported as not run, but an engine ran it: %s", f.Err.Reason)
	}
}

// advance lets engines generate, messages arrive and time pass.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, e := range w.engines {
		if e.dead || e.frozen {
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
			w.step(l.core, Received{Generation: l.generation, Attempt: l.attempt, Chunk: chunk})
		}
	}
	due := w.pending
	w.pending = nil
	for _, p := range due {
		if p.at > w.now {
			w.pending = append(w.pending, p)
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

func (w *world) generate(e *simEngine, s *simStream) {
	if len(s.tokens) < s.request.MaxTokens {
		s.tokens = append(s.tokens, sample(e.endpoint.ID, s.tokens))
	}
	l := s.link
	for l != nil && !l.closed && l.next < len(s.tokens) {
		chunk := Chunk{RequestID: l.engineID, Attempt: l.attempt, Position: l.next, HasToken: true, Token: s.tokens[l.next]}
		l.next++
		if l.next == s.request.MaxTokens {
			chunk.Finish = finishLength
		}
		l.chunks = append(l.chunks, chunk)
	}
}

// settle heals everything and lets the callers reconnect until they are done.
func (w *world) settle() error {
	for _, e := range w.engines {
		e.dead, e.frozen = false, false
	}
	for range 3000 {
		if w.err != nil {
			return w.err
		}
		w.advance(20 * time.Millisecond)
		if w.idle() {
			return w.err
		}
	}
	if w.err != nil {
		return w.err
	}
	return errors.New("answers did not end within a minute of healthy engines")
}

func (w *world) idle() bool {
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
	return len(w.grants) == 0 && len(w.pending) == 0
}
