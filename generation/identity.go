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
	// noNonce stands in the event id of a request that has a key.
	noNonce = "0"
	// noEndpoint stands in the event id of an answer that has no live engine.
	noEndpoint = "0"
	// maxEventIDBytes bounds the header; a valid event id is far shorter.
	maxEventIDBytes = 512
	// noStream stands in the event id of an answer whose stream is not known.
	noStream          = "0"
	generationIDBytes = 16
	// epochBits is the range of attempt numbers of one caller connection. A
	// newer connection starts in the next range, so all of its attempts are
	// higher than any attempt of the older one.
	attemptEpochBits = 20
	// saltBits of the range tell apart two connections that resume from one
	// event id at the same time; the rest counts attempts.
	epochSaltBits = 12
)

// canonical is the part of a request that determines its answer.
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

// generationID binds the answer to account, key (or nonce) and content, so
// that another account or another body cannot resume it.
func generationID(account api.AccountID, key, nonce string, digest api.Digest) string {
	encoded, _ := json.Marshal([]string{string(account), key, nonce, hex.EncodeToString(digest[:])})
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:generationIDBytes])
}

func derivedSeed(generation string) int64 {
	return int64(xxhash.Sum64String("seed:"+generation) >> 1)
}

// extendHash is the running hash of a prefix, extended by one token.
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

// EventID is the location of one delivered token.
type EventID struct {
	Generation string
	Attempt    uint64
	Position   int
	Endpoint   api.EndpointID
	Instance   api.InstanceID
	Hash       uint64 // of the tokens 0 to Position
	Nonce      string // "" if the request has a key
	// Stream names the engine's stream that generated the token. Each stream is
	// opened once, so a reattachment finds exactly the tokens that led here.
	Stream string
}

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
	attempt, errAttempt := strconv.ParseUint(parts[2], 10, 48)
	position, errPosition := strconv.ParseUint(parts[3], 10, 31)
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

// streamName names the stream of one attempt; the salt tells instances apart.
func newStreamName(salt uint32, attempt uint64) string {
	return strconv.FormatUint(uint64(salt), 36) + "-" + strconv.FormatUint(attempt, 36)
}

// engineID is the request id that an engine gets. It is used for one stream
// only.
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
	// blockBytes is the unit of prefix affinity, about 256 tokens of text.
	prefixBlockBytes = 1024
	// maxBlocks bounds the affinity hashes of one prompt.
	maxPrefixBlocks = 32
)

// prefixBlocks returns the running hashes of the prompt's leading blocks.
func prefixBlocks(model api.ModelRef, prompt string) []uint64 {
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
