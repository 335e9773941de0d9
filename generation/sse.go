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
	completionObject = "text_completion"
	// keepAliveInterval is how long a stream may send nothing before a comment is
	// sent, so that callers and middleboxes keep the connection during a recovery.
	keepAliveInterval = 2 * time.Second
)

type completionChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Token        *uint32  `json:"token,omitempty"`
	Position     *int     `json:"position,omitempty"`
	Tokens       []uint32 `json:"tokens,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

// responseWriter writes one response to a caller.
type responseWriter struct {
	runner            *Runner
	w                 http.ResponseWriter
	httpRequest       *http.Request
	request           *Request
	conn              *callerConnection
	controller        *http.ResponseController
	startedAt         time.Duration
	headerWritten     bool
	firstTokenWritten bool
}

func newResponseWriter(r *Runner, w http.ResponseWriter, httpRequest *http.Request, request *Request, conn *callerConnection) *responseWriter {
	return &responseWriter{
		runner: r, w: w, httpRequest: httpRequest, request: request, conn: conn,
		controller: http.NewResponseController(w), startedAt: r.o.Clock(),
	}
}

func (s *responseWriter) run() {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.httpRequest.Context().Done():
			s.reportDisconnected(reason.CallerGone)
			return
		case <-s.runner.ctx.Done():
			s.conn.finish(shutdownError())
			s.flush()
			return
		case <-s.conn.wake:
			if done := s.flush(); done {
				return
			}
			ticker.Reset(keepAliveInterval)
		case <-ticker.C:
			if s.request.Stream && !s.writeKeepAlive() {
				return
			}
		}
	}
}

// shutdownError ends the responses that are in progress when the instance stops.
func shutdownError() *reason.Error {
	return &reason.Error{Reason: reason.ShuttingDown, Run: reason.RunUnknown, Message: "the instance stops"}
}

// reportDisconnected reports to the event loop that the caller is disconnected.
func (s *responseWriter) reportDisconnected(why reason.Reason) {
	s.runner.post(CallerDisconnected{Conn: s.conn.id, Reason: why})
}

// flush writes what the connection has buffered and reports whether the response
// has ended.
func (s *responseWriter) flush() (done bool) {
	if !s.request.Stream {
		return s.writeWholeResponse()
	}
	batch, ended, overflow, err := s.conn.takeUnsent()
	if overflow {
		s.reportDisconnected(reason.SlowCaller)
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

func (s *responseWriter) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// writeTokens writes a batch of tokens. It reports false if the caller is
// disconnected.
func (s *responseWriter) writeTokens(batch []DeliverToken) bool {
	s.writeHeader()
	var text strings.Builder
	for i := range batch {
		s.appendEvent(&text, &batch[i])
	}
	if !s.firstTokenWritten {
		s.firstTokenWritten = true
		s.runner.metrics.firstTokenLatency.RecordDuration(s.runner.o.Clock() - s.startedAt)
	}
	s.runner.metrics.deliveredTokens.Inc(int64(len(batch)))
	return s.writeText(text.String())
}

func (s *responseWriter) appendEvent(text *strings.Builder, d *DeliverToken) {
	c := completionChoice{Text: d.Text}
	if d.HasToken {
		c.Token, c.Position = &d.Token, &d.EventID.Position
		text.WriteString("id: " + d.EventID.String() + "\n")
	}
	if d.FinishReason != "" {
		c.FinishReason = &d.FinishReason
	}
	data, _ := json.Marshal(completionResponse{
		ID: s.request.Generation, Object: completionObject, Model: s.request.Model.Model, Choices: []completionChoice{c},
	})
	text.WriteString("data: ")
	text.Write(data)
	text.WriteString("\n\n")
}

func (s *responseWriter) writeKeepAlive() bool {
	s.writeHeader()
	return s.writeText(": waiting\n\n")
}

// writeText writes text to the caller. If the caller does not read it within
// SlowCallerTimeout or is disconnected, the generation ends and it reports false.
func (s *responseWriter) writeText(text string) bool {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.runner.o.SlowCallerTimeout))
	_, err := s.w.Write([]byte(text))
	if err == nil {
		err = s.controller.Flush()
	}
	if err == nil {
		return true
	}
	why := reason.CallerGone
	if errors.Is(err, os.ErrDeadlineExceeded) {
		why = reason.SlowCaller
	}
	s.reportDisconnected(why)
	return false
}

// writeEnd ends the stream. An error before the first byte is sent as a refusal
// with its own status code.
func (s *responseWriter) writeEnd(err *reason.Error) {
	if err == nil {
		s.writeHeader()
		s.writeText("data: [DONE]\n\n")
		return
	}
	s.runner.metrics.countError(err)
	if !s.headerWritten {
		httpapi.WriteError(s.w, err)
		return
	}
	data, _ := json.Marshal(httpapi.NewErrorBody(err))
	s.writeText("event: error\ndata: " + string(data) + "\n\n")
}

// writeWholeResponse writes a response that is not streamed, once it is complete.
func (s *responseWriter) writeWholeResponse() (done bool) {
	s.conn.mu.Lock()
	ended, err := s.conn.ended, s.conn.err
	s.conn.mu.Unlock()
	if !ended {
		return false
	}
	if err != nil {
		s.runner.metrics.countError(err)
		httpapi.WriteError(s.w, err)
		return true
	}
	batch, _, _, _ := s.conn.takeUnsent()
	var text strings.Builder
	c := completionChoice{Tokens: make([]uint32, 0, len(batch))}
	for i := range batch {
		text.WriteString(batch[i].Text)
		if batch[i].HasToken {
			c.Tokens = append(c.Tokens, batch[i].Token)
		}
		if batch[i].FinishReason != "" {
			c.FinishReason = &batch[i].FinishReason
		}
	}
	c.Text = text.String()
	s.runner.metrics.deliveredTokens.Inc(int64(len(c.Tokens)))
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.runner.o.SlowCallerTimeout))
	httpapi.WriteJSON(s.w, http.StatusOK, completionResponse{
		ID: s.request.Generation, Object: completionObject, Model: s.request.Model.Model, Choices: []completionChoice{c},
	})
	return true
}
