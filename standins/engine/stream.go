package engine

import "time"

// stream is one generation on the engine. The engine's mutex guards it.
type stream struct {
	request  Request
	sampler  sampler
	first    int // position of the first token that this engine computes
	tokens   []int
	ended    bool
	finish   string    // why it ended: length, cancelled or superseded
	readyAt  time.Time // end of the prefill; zero while it waits for a slot
	arrived  uint64    // order of arrival
	attempt  uint64
	attached uint64 // number of the newest connection; older ones end
	open     bool   // the newest connection is open
	lostAt   time.Time
	changed  chan struct{}
}

func newStream(r Request, arrived uint64) *stream {
	return &stream{
		request: r,
		sampler: newSampler(r),
		first:   len(r.PrefixTokens),
		arrived: arrived,
		attempt: r.Attempt,
		changed: make(chan struct{}),
	}
}

func (s *stream) position() int { return s.first + len(s.tokens) }

// step computes one token.
func (s *stream) step() {
	s.tokens = append(s.tokens, s.sampler.next(s.position()))
	if s.position() >= s.request.MaxTokens {
		s.end("length")
	}
	s.notify()
}

func (s *stream) end(finish string) {
	s.ended = true
	s.finish = finish
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// attach makes the caller the newest connection and returns its number.
func (s *stream) attach(attempt uint64) uint64 {
	s.attempt = attempt
	s.attached++
	s.open = true
	s.notify()
	return s.attached
}

// detach records that a connection broke, if it is the newest.
func (s *stream) detach(now time.Time, number uint64) {
	if s.attached == number {
		s.open = false
		s.lostAt = now
	}
}

// chunk returns the event at a position that is computed.
func (s *stream) chunk(position int, attempt uint64) Chunk {
	token := s.tokens[position-s.first]
	chunk := Chunk{RequestID: s.request.RequestID, Attempt: attempt, Position: position, Token: token, Text: TokenText(token)}
	if s.ended && s.finish == "length" && position+1 == s.position() {
		chunk.FinishReason = s.finish
	}
	return chunk
}

// closing returns the event that ends a connection before the answer.
func (s *stream) closing(position int, attempt uint64, finish string) *ClosingEvent {
	return &ClosingEvent{RequestID: s.request.RequestID, Attempt: attempt, Position: position, FinishReason: finish}
}
