package engine

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// vocabulary is the number of different tokens.
	vocabulary = 50_000
	// bytesPerToken converts the length of a prompt into tokens.
	bytesPerToken = 4
	// BlockSizeBytes is the size of a prompt block in the prefix cache.
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

// ClosingEvent is the last event of a connection that ends before the answer. It
// has no token.
type ClosingEvent struct {
	RequestID    string `json:"request_id"`
	Attempt      uint64 `json:"attempt"`
	Position     int    `json:"position"`
	FinishReason string `json:"finish_reason"`
}

// sampler draws the tokens of one answer. Each token depends on the sampling
// inputs and on all tokens before it, so that a wrong prefix changes the rest.
type sampler struct {
	history uint64
}

// newSampler returns a sampler that stands after the prefix.
func newSampler(r Request) sampler {
	digest := xxhash.New()
	for _, part := range []string{r.Model, r.Version, r.Adapter, r.Prompt} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], math.Float64bits(r.Temperature))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(r.Seed))
	_, _ = digest.Write(numbers[:])
	s := sampler{history: digest.Sum64()}
	for position, token := range r.PrefixTokens {
		s.accept(position, token)
	}
	return s
}

func (s *sampler) next(position int) int {
	token := int(mix(s.history, uint64(position), 1) % vocabulary)
	s.accept(position, token)
	return token
}

func (s *sampler) accept(position, token int) {
	s.history = mix(s.history, uint64(position), uint64(token)<<1)
}

func mix(values ...uint64) uint64 {
	var buffer [24]byte
	for i, value := range values {
		binary.LittleEndian.PutUint64(buffer[8*i:], value)
	}
	return xxhash.Sum64(buffer[:8*len(values)])
}

// TokenText returns the text of a token.
func TokenText(token int) string { return " w" + strconv.Itoa(token) }

// ExpectedTokens returns the whole answer that an engine gives to the request when
// nothing fails.
func ExpectedTokens(r Request) []int {
	tokens := append([]int(nil), r.PrefixTokens...)
	s := newSampler(r)
	for position := len(tokens); position < r.MaxTokens; position++ {
		tokens = append(tokens, s.next(position))
	}
	return tokens
}

// promptTokens returns how many tokens the bytes of a prompt are.
func promptTokens(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

// BlockHashes returns the hash of each leading block of the prompt. Block i covers
// the model and the prompt up to byte (i+1)*BlockSizeBytes; the last may be shorter.
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
