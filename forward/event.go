package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream. Events have a few hundred bytes.
// messageBuffer events of this size take 1 MiB for each stream.
const maxEventBytes = 64 << 10

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// event is one server-sent event with its terminating blank line, byte for
// byte.
type event struct {
	raw []byte
	// id is the number in the event's id field; hasID is false if there is none
	// or it is not a number.
	id    int64
	hasID bool
}

// eventReader splits a stream into events. An event without its terminating
// blank line is not returned, because the stream was cut within it.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next complete event. It returns io.EOF only if the stream
// ended between two events.
func (e *eventReader) next() (event, error) {
	var found event
	for {
		line, err := e.r.ReadSlice('\n')
		found.raw = append(found.raw, line...)
		if len(found.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(found.raw)) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if !endsEvent(found.raw, line) {
			continue
		}
		found.id, found.hasID = eventID(found.raw)
		return found, nil
	}
}

// endsEvent reports whether line is the blank line that terminates an event.
// The line may be the tail of one that was longer than the buffer.
func endsEvent(raw, line []byte) bool {
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		return false
	}
	before := raw[:len(raw)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// eventID returns the number in the event's first id field, and false if there
// is none or it is not a number.
func eventID(raw []byte) (int64, bool) {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
