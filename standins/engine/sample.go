package engine

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// vocabularySize is the number of different tokens.
	vocabularySize = 50_000
	// bytesPerToken is the prompt length that counts as one token, as the stand-in
	// has no tokenizer.
	bytesPerToken = 4
	// BlockSizeBytes is the size of a block of the prefix cache, in prompt bytes.
	BlockSizeBytes = 1024
)

// Request is the body of POST /v1/completions.
type Request struct {
	RequestID    string  `json:"request_id"`
	Attempt      uint64  `json:"attempt"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	Adapter      string  `json:"adapter"`
	Prompt       string  `json:"prompt"`
	PrefixTokens []int   `json:"prefix_tokens"`
	MaxTokens    int     `json:"max_tokens"`
	Temperature  float64 `json:"temperature"`
	Seed         int64   `json:"seed"`
	Priority     int     `json:"priority"`
}

// Chunk is one event of a stream.
type Chunk struct {
	RequestID    string `json:"request_id"`
	Attempt      uint64 `json:"attempt"`
	Position     int    `json:"position"`
	Token        int    `json:"token"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// ClosingEvent is the last event of a connection that is closed before the
// response is complete. It has no token.
type ClosingEvent struct {
	RequestID    string `json:"request_id"`
	Attempt      uint64 `json:"attempt"`
	Position     int    `json:"position"`
	FinishReason string `json:"finish_reason"`
}

// sampler generates the tokens of one response. Each token depends on the sampling
// inputs and on all tokens before it, so that a wrong prefix changes all tokens
// that follow.
type sampler struct {
	state uint64 // hash of the inputs and of the tokens so far
}

// newSampler returns a sampler that generates the tokens after the prefix.
func newSampler(r Request) sampler {
	digest := xxhash.New()
	for _, part := range []string{r.Model, r.Version, r.Adapter, r.Prompt} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	var parameters [16]byte
	binary.LittleEndian.PutUint64(parameters[:8], math.Float64bits(r.Temperature))
	binary.LittleEndian.PutUint64(parameters[8:], uint64(r.Seed))
	_, _ = digest.Write(parameters[:])
	s := sampler{state: digest.Sum64()}
	for position, token := range r.PrefixTokens {
		s.accept(position, token)
	}
	return s
}

// next generates the token at the position.
func (s *sampler) next(position int) int {
	token := int(hashValues(s.state, uint64(position), 1) % vocabularySize)
	s.accept(position, token)
	return token
}

// accept adds a token to the state. The shift makes the last value even, which
// distinguishes the hash from that in next.
func (s *sampler) accept(position, token int) {
	s.state = hashValues(s.state, uint64(position), uint64(token)<<1)
}

// hashValues returns a hash of at most three values.
func hashValues(values ...uint64) uint64 {
	var buffer [24]byte
	for i, value := range values {
		binary.LittleEndian.PutUint64(buffer[8*i:], value)
	}
	return xxhash.Sum64(buffer[:8*len(values)])
}

// TokenText returns the text of a token.
func TokenText(token int) string { return " w" + strconv.Itoa(token) }

// ExpectedTokens returns the tokens of the complete response to the request,
// including its prefix tokens, of an engine that runs without a failure.
func ExpectedTokens(r Request) []int {
	tokens := append([]int(nil), r.PrefixTokens...)
	s := newSampler(r)
	for position := len(tokens); position < r.MaxTokens; position++ {
		tokens = append(tokens, s.next(position))
	}
	return tokens
}

// promptTokenCount returns the number of tokens of a prompt of the given length.
func promptTokenCount(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

// BlockHashes returns a hash for each block of the prompt. Hash i covers the model
// and the prompt up to byte (i+1)*BlockSizeBytes; the last block may be shorter.
func BlockHashes(r Request) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Model + "\x00" + r.Version + "\x00" + r.Adapter + "\x00")
	var blocks []uint64
	for rest := r.Prompt; len(rest) > 0; {
		size := min(BlockSizeBytes, len(rest))
		_, _ = digest.WriteString(rest[:size])
		blocks = append(blocks, digest.Sum64())
		rest = rest[size:]
	}
	return blocks
}
