package generation

import (
	"strings"
	"testing"
)

// FuzzParseBody guards against panics and against bodies outside the limits that
// pass the validation.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(streamBody))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := parseBody(data, 100)
		if err != nil {
			return
		}
		if body.Model == "" || body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > 100 {
			t.Errorf("accepted %+v", body)
		}
		other := *body
		other.Stream, other.PrefixTokens = !body.Stream, append(body.PrefixTokens, 1)
		if contentDigest(body.canonical()) != contentDigest(other.canonical()) {
			t.Error("the digest depends on fields outside the content")
		}
	})
}

// FuzzParseChunk guards against panics and against chunks without a valid
// position that count as tokens.
func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","attempt":1,"position":0,"token":5,"text":"t","finish_reason":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk := parseChunk(data)
		if chunk.HasToken && (chunk.Malformed || chunk.Position < 0) {
			t.Errorf("accepted %+v", chunk)
		}
		count := 0
		readChunks(strings.NewReader("data: "+string(data)+"\n\n"), func(Chunk) error {
			count++
			return nil
		})
		if count > 1+strings.Count(string(data), "\n") {
			t.Errorf("parsed %d chunks from one event", count)
		}
	})
}

// FuzzParseEventID guards against panics and against event IDs that change when
// they are formatted and parsed again, which would make them name another token.
func FuzzParseEventID(f *testing.F) {
	id := EventID{
		Generation: strings.Repeat("a", 2*generationIDBytes), Attempt: 1, Position: 9,
		Endpoint: "e1", Instance: "i1", Hash: 255, Nonce: "n", Stream: "s-1",
	}
	f.Add(id.String())
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, err := ParseEventID(id.String())
		if err != nil || again != id {
			t.Errorf("%q was parsed and formatted as %q", text, id)
		}
	})
}
