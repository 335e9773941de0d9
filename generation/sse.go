package generation

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	objectName = "text_completion"
	// keepAlive is how long a stream may be silent before a comment is sent,
	// so that callers and middleboxes keep the connection during a recovery.
	keepAlive = 2 * time.Second
)

type choice struct {
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	Token    *uint32  `json:"token,omitempty"`
	Position *int     `json:"position,omitempty"`
	Tokens   []uint32 `json:"tokens,omitempty"`
	Finish   *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// sender writes one answer to a caller.
type sender struct {
	r       *Runner
	w       http.ResponseWriter
	request *http.Request
	checked *Request
	conn    *connection
	control *http.ResponseController
	started time.Duration
	begun   bool // the response header is written
	first   bool // the first token is written
}

func newSender(r *Runner, w http.ResponseWriter, request *http.Request, checked *Request, conn *connection) *sender {
	return &sender{
		r: r, w: w, request: request, checked: checked, conn: conn,
		control: http.NewResponseController(w), started: r.o.Clock(),
	}
}

func (s *sender) run() {
	timer := time.NewTicker(keepAlive)
	defer timer.Stop()
	for {
		select {
		case <-s.request.Context().Done():
			s.left(reason.CallerGone)
			return
		case <-s.r.ctx.Done():
			s.conn.finish(stopped())
			s.flush()
			return
		case <-s.conn.wake:
			if done := s.flush(); done {
				return
			}
			timer.Reset(keepAlive)
		case <-timer.C:
			if s.checked.Stream && !s.comment() {
				return
			}
		}
	}
}

// stopped is the end of answers that run when the instance stops.
func stopped() *reason.Error {
	return &reason.Error{Reason: reason.ShuttingDown, Run: reason.RunUnknown, Message: "the instance stops"}
}

// left tells the loop that the caller is gone.
func (s *sender) left(why reason.Reason) {
	s.r.post(CallerLeft{Conn: s.conn.id, Reason: why})
}

func (s *sender) flush() (done bool) {
	if !s.checked.Stream {
		return s.flushWhole()
	}
	batch, ended, overflow, err := s.conn.take()
	if overflow {
		s.left(reason.SlowCaller)
		s.writeEnd(reason.New(reason.SlowCaller, "the stream was not read").WithRun(reason.RunYes))
		return true
	}
	if len(batch) > 0 && !s.writeTokens(batch) {
		return true
	}
	if ended {
		s.writeEnd(err)
	}
	return ended
}

func (s *sender) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sender) writeTokens(batch []Deliver) bool {
	s.begin()
	var text strings.Builder
	for i := range batch {
		s.appendEvent(&text, &batch[i])
	}
	if !s.first {
		s.first = true
		s.r.metrics.firstToken.RecordDuration(s.r.o.Clock() - s.started)
	}
	s.r.metrics.delivered.Inc(int64(len(batch)))
	return s.write(text.String())
}

func (s *sender) appendEvent(text *strings.Builder, d *Deliver) {
	c := choice{Text: d.Text}
	if d.HasToken {
		c.Token, c.Position = &d.Token, &d.ID.Position
		text.WriteString("id: " + d.ID.String() + "\n")
	}
	if d.Finish != "" {
		c.Finish = &d.Finish
	}
	data, _ := json.Marshal(completion{
		ID: s.checked.Generation, Object: objectName, Model: s.checked.Model.Model, Choices: []choice{c},
	})
	text.WriteString("data: ")
	text.Write(data)
	text.WriteString("\n\n")
}

func (s *sender) comment() bool {
	s.begin()
	return s.write(": waiting\n\n")
}

// write sends text within the slow caller bound and ends the generation if
// the caller does not take it.
func (s *sender) write(text string) bool {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.r.o.SlowCallerBound))
	_, err := s.w.Write([]byte(text))
	if err == nil {
		err = s.control.Flush()
	}
	if err == nil {
		return true
	}
	why := reason.CallerGone
	if errors.Is(err, os.ErrDeadlineExceeded) {
		why = reason.SlowCaller
	}
	s.left(why)
	return false
}

// writeEnd ends the stream. Before the first byte an error is an ordinary
// refusal with its own status.
func (s *sender) writeEnd(err *reason.Error) {
	if err == nil {
		s.begin()
		s.write("data: [DONE]\n\n")
		return
	}
	s.r.metrics.refused(err)
	if !s.begun {
		httpapi.WriteError(s.w, err)
		return
	}
	data, _ := json.Marshal(httpapi.Body(err))
	s.write("event: error\ndata: " + string(data) + "\n\n")
}

// flushWhole writes an answer that is not streamed, once it is complete.
func (s *sender) flushWhole() (done bool) {
	s.conn.mu.Lock()
	ended, err := s.conn.ended, s.conn.err
	s.conn.mu.Unlock()
	if !ended {
		return false
	}
	if err != nil {
		s.r.metrics.refused(err)
		httpapi.WriteError(s.w, err)
		return true
	}
	batch, _, _, _ := s.conn.take()
	var text strings.Builder
	c := choice{Tokens: make([]uint32, 0, len(batch))}
	for i := range batch {
		text.WriteString(batch[i].Text)
		if batch[i].HasToken {
			c.Tokens = append(c.Tokens, batch[i].Token)
		}
		if batch[i].Finish != "" {
			c.Finish = &batch[i].Finish
		}
	}
	c.Text = text.String()
	s.r.metrics.delivered.Inc(int64(len(c.Tokens)))
	_ = s.control.SetWriteDeadline(time.Now().Add(s.r.o.SlowCallerBound))
	httpapi.WriteJSON(s.w, http.StatusOK, completion{
		ID: s.checked.Generation, Object: objectName, Model: s.checked.Model.Model, Choices: []choice{c},
	})
	return true
}
