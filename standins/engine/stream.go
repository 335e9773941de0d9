package engine

import "time"

// stream is one attempt of a generation on the engine. The engine's mutex guards it.
type stream struct {
	request            Request
	sampler            sampler
	firstPosition      int // position of the first token that this engine computes
	tokens             []int
	ended              bool
	finishReason       string    // length, cancelled or superseded
	prefillEnd         time.Time // zero while the stream waits for a slot
	arrivalNumber      uint64    // number of the request in the order of arrival
	attempt            uint64
	newestConnectionID uint64 // older connections are closed
	connected          bool   // whether the newest connection is open
	disconnectedAt     time.Time
	changed            chan struct{} // closed and replaced when the stream changes
}

func newStream(r Request, arrivalNumber uint64) *stream {
	return &stream{
		request:       r,
		sampler:       newSampler(r),
		firstPosition: len(r.PrefixTokens),
		arrivalNumber: arrivalNumber,
		attempt:       r.Attempt,
		changed:       make(chan struct{}),
	}
}

func (s *stream) nextPosition() int { return s.firstPosition + len(s.tokens) }

// computeToken appends the next token.
func (s *stream) computeToken() {
	s.tokens = append(s.tokens, s.sampler.next(s.nextPosition()))
	if s.nextPosition() >= s.request.MaxTokens {
		s.end("length")
	}
	s.notify()
}

func (s *stream) end(finishReason string) {
	s.ended = true
	s.finishReason = finishReason
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// attach registers a new connection, which replaces the older one, and returns
// its number.
func (s *stream) attach(attempt uint64) uint64 {
	s.attempt = attempt
	s.newestConnectionID++
	s.connected = true
	s.notify()
	return s.newestConnectionID
}

// detach records the loss of a connection if it is the newest one.
func (s *stream) detach(now time.Time, connectionID uint64) {
	if s.newestConnectionID == connectionID {
		s.connected = false
		s.disconnectedAt = now
	}
}

// chunk returns the event of the token at the position, which must have been
// computed.
func (s *stream) chunk(position int, attempt uint64) Chunk {
	token := s.tokens[position-s.firstPosition]
	chunk := Chunk{RequestID: s.request.RequestID, Attempt: attempt, Position: position, Token: token, Text: TokenText(token)}
	if s.ended && s.finishReason == "length" && position+1 == s.nextPosition() {
		chunk.FinishReason = s.finishReason
	}
	return chunk
}

// closingEvent returns the event that closes a connection before the response is
// complete.
func (s *stream) closingEvent(position int, attempt uint64, finishReason string) *ClosingEvent {
	return &ClosingEvent{RequestID: s.request.RequestID, Attempt: attempt, Position: position, FinishReason: finishReason}
}
