package generation

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	eventIDVersion = "v1"
	eventIDParts   = 8
	// noNonce is the nonce in the event ID of a request with an Idempotency-Key.
	noNonce = "0"
	// noEndpoint is the endpoint in the event ID of a response whose engine is not
	// known.
	noEndpoint = "0"
	// maxEventIDBytes bounds the Last-Event-ID header; a valid event ID is far
	// shorter.
	maxEventIDBytes = 512
	// noStream is the stream in the event ID of a response whose stream is not
	// known.
	noStream          = "0"
	generationIDBytes = 16
	// An attempt number is an epoch, a salt of epochSaltBits and a counter; salt and
	// counter have attemptEpochBits together. A newer connection of a caller uses
	// the next epoch, so its attempt numbers are higher than those of the older
	// connection.
	attemptEpochBits = 20
	// The random salt distinguishes two connections that resume from the same event
	// ID at the same time.
	epochSaltBits = 12
	// attemptNumberBits and positionBits bound the numbers in a valid event ID.
	attemptNumberBits = 48
	positionBits      = 31
)

// canonicalRequest is the part of a request that determines its response.
type canonicalRequest struct {
	Model       string  `json:"model"`
	Version     string  `json:"version"`
	Adapter     string  `json:"adapter"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature"`
	Seed        *int64  `json:"seed"`
}

func contentDigest(c canonicalRequest) api.Digest {
	// The fields are plain values, so the encoding cannot fail.
	encoded, _ := json.Marshal(c)
	sum := sha256.Sum256(encoded)
	return api.Digest(sum[:len(api.Digest{})])
}

// generationID derives the ID from the account, the key (or nonce) and the
// content, so that a request of another account or with another body cannot
// resume the response.
func generationID(account api.AccountID, key, nonce string, digest api.Digest) string {
	encoded, _ := json.Marshal([]string{string(account), key, nonce, hex.EncodeToString(digest[:])})
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:generationIDBytes])
}

func derivedSeed(generation string) int64 {
	return int64(xxhash.Sum64String("seed:"+generation) >> 1)
}

// extendHash returns the hash of a prefix that is extended by one token.
func extendHash(hash uint64, token uint32) uint64 {
	var buffer [12]byte
	binary.LittleEndian.PutUint64(buffer[:8], hash)
	binary.LittleEndian.PutUint32(buffer[8:], token)
	return xxhash.Sum64(buffer[:])
}

func hashTokens(tokens []uint32) uint64 {
	var hash uint64
	for _, token := range tokens {
		hash = extendHash(hash, token)
	}
	return hash
}

// EventID is the SSE event ID of a delivered token. It names the token's position
// in the response and an engine stream that has the tokens up to it.
type EventID struct {
	Generation string
	Attempt    uint64
	Position   int
	Endpoint   api.EndpointID
	Instance   api.InstanceID
	Hash       uint64 // of the tokens 0 to Position
	Nonce      string // "" if the request has a key
	// Stream names the engine stream that generated the token, or a later one that
	// was opened with the token in its prefix. Each stream is opened once, so a
	// reattachment finds exactly the tokens that the caller has.
	Stream string
}

// String formats the event ID as
// v1.generation.attempt.position.endpoint.instance.hash.nonce-stream.
func (e EventID) String() string {
	endpoint := string(e.Endpoint)
	if endpoint == "" {
		endpoint = noEndpoint
	}
	nonce := e.Nonce
	if nonce == "" {
		nonce = noNonce
	}
	stream := e.Stream
	if stream == "" {
		stream = noStream
	}
	return strings.Join([]string{
		eventIDVersion,
		e.Generation,
		strconv.FormatUint(e.Attempt, 10),
		strconv.Itoa(e.Position),
		endpoint,
		string(e.Instance),
		strconv.FormatUint(e.Hash, 16),
		nonce + "-" + stream,
	}, ".")
}

// ParseEventID parses a Last-Event-ID.
func ParseEventID(text string) (EventID, error) {
	invalid := reason.New(reason.EventIDInvalid, "the Last-Event-ID is not an event id of this system").WithField("Last-Event-ID")
	parts := strings.Split(text, ".")
	if len(text) > maxEventIDBytes || len(parts) != eventIDParts || parts[0] != eventIDVersion {
		return EventID{}, invalid
	}
	for _, part := range parts[1:] {
		if !isIdentifier(part) {
			return EventID{}, invalid
		}
	}
	attempt, errAttempt := strconv.ParseUint(parts[2], 10, attemptNumberBits)
	position, errPosition := strconv.ParseUint(parts[3], 10, positionBits)
	hash, errHash := strconv.ParseUint(parts[6], 16, 64)
	nonce, stream, ok := strings.Cut(parts[7], "-")
	if !ok || nonce == "" || stream == "" {
		return EventID{}, invalid
	}
	if errAttempt != nil || errPosition != nil || errHash != nil || len(parts[1]) != 2*generationIDBytes {
		return EventID{}, invalid
	}
	id := EventID{
		Generation: parts[1],
		Attempt:    attempt,
		Position:   int(position),
		Endpoint:   api.EndpointID(parts[4]),
		Instance:   api.InstanceID(parts[5]),
		Hash:       hash,
		Nonce:      nonce,
		Stream:     stream,
	}
	if id.Endpoint == noEndpoint {
		id.Endpoint = ""
	}
	if id.Nonce == noNonce {
		id.Nonce = ""
	}
	return id, nil
}

// newStreamName returns the name of the stream of one attempt. The salt makes it
// unique across instances.
func newStreamName(salt uint32, attempt uint64) string {
	return strconv.FormatUint(uint64(salt), 36) + "-" + strconv.FormatUint(attempt, 36)
}

// engineRequestID returns the request ID that is sent to an engine. Each ID is
// used for one stream only.
func engineRequestID(generation, stream string) string { return generation + "-" + stream }

func isIdentifier(text string) bool {
	for _, c := range []byte(text) {
		ok := c == '-' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z'
		if !ok {
			return false
		}
	}
	return text != ""
}

const (
	// prefixBlockBytes is the block size of prefix affinity, about 256 tokens of
	// text.
	prefixBlockBytes = 1024
	// maxPrefixBlocks bounds the block hashes of one prompt.
	maxPrefixBlocks = 32
)

// prefixBlockHashes returns a hash for each leading block of the prompt. Each hash
// covers the model and the prompt up to the end of its block.
func prefixBlockHashes(model api.ModelRef, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model.Model + "\x00" + model.Version + "\x00" + model.Adapter + "\x00")
	var blocks []uint64
	for len(prompt) > 0 && len(blocks) < maxPrefixBlocks {
		size := min(prefixBlockBytes, len(prompt))
		_, _ = digest.WriteString(prompt[:size])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[size:]
	}
	return blocks
}
