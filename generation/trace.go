package generation

import (
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// maxTraces is the number of requests whose traces are kept.
	maxTraces = 4096
	// maxTraceSteps bounds the steps of one trace. The first half and the latest
	// half are kept.
	maxTraceSteps = 64
	// maxResumedStreams is the number of resumed streams that are kept.
	maxResumedStreams = 256
)

// TraceStep is one step of a trace.
type TraceStep struct {
	AtMS     int64          `json:"at_ms"` // since the first step
	Step     string         `json:"step"`
	Reason   reason.Reason  `json:"reason,omitempty"`
	Attempt  uint64         `json:"attempt,omitempty"`
	Endpoint api.EndpointID `json:"endpoint,omitempty"`
	Position int            `json:"position"`
}

// Trace lists the steps of a request, from its start to its end.
type Trace struct {
	Generation string      `json:"generation"`
	Steps      []TraceStep `json:"steps"`
	Dropped    int         `json:"dropped_steps,omitempty"`
}

// ResumedStream is a stream that continued after an interruption.
type ResumedStream struct {
	Generation string `json:"generation"`
	AgoMS      int64  `json:"ago_ms"`
	LatencyMS  int64  `json:"latency_ms"`
	Recomputed int    `json:"recomputed_tokens"`
}

type traceRecord struct {
	Trace
	startedAt time.Duration
}

type resumedRecord struct {
	ResumedStream
	resumedAt time.Duration
}

type traceStore struct {
	mu             sync.Mutex
	byID           map[string]*traceRecord
	ids            []string // oldest first
	resumedStreams []resumedRecord
}

func newTraceStore() *traceStore { return &traceStore{byID: make(map[string]*traceRecord)} }

func (t *traceStore) add(now time.Duration, action RecordStep) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.byID[action.Generation]
	if record == nil {
		record = &traceRecord{Trace: Trace{Generation: action.Generation}, startedAt: now}
		t.byID[action.Generation] = record
		t.ids = append(t.ids, action.Generation)
		if len(t.ids) > maxTraces {
			delete(t.byID, t.ids[0])
			t.ids = t.ids[1:]
		}
	}
	step := TraceStep{
		AtMS: (now - record.startedAt).Milliseconds(), Step: action.Step, Reason: action.Reason,
		Attempt: action.Attempt, Endpoint: action.Endpoint, Position: action.Position,
	}
	if len(record.Steps) == maxTraceSteps {
		copy(record.Steps[maxTraceSteps/2:], record.Steps[maxTraceSteps/2+1:])
		record.Steps = record.Steps[:maxTraceSteps-1]
		record.Dropped++
	}
	record.Steps = append(record.Steps, step)
}

func (t *traceStore) addRefusal(now time.Duration, generation string, why reason.Reason) {
	t.add(now, RecordStep{Generation: generation, Step: "refused", Reason: why})
}

func (t *traceStore) addResume(now time.Duration, action RecordResume) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumedStreams = append(t.resumedStreams, resumedRecord{resumedAt: now, ResumedStream: ResumedStream{
		Generation: action.Generation, LatencyMS: action.Latency.Milliseconds(), Recomputed: action.Recomputed,
	}})
	if len(t.resumedStreams) > maxResumedStreams {
		t.resumedStreams = t.resumedStreams[1:]
	}
}

// Trace returns the trace of a request by its generation ID.
func (r *Runner) Trace(id string) (Trace, bool) {
	r.traces.mu.Lock()
	defer r.traces.mu.Unlock()
	record := r.traces.byID[id]
	if record == nil {
		return Trace{}, false
	}
	trace := record.Trace
	trace.Steps = append([]TraceStep(nil), record.Steps...)
	return trace, true
}

// ResumedStreams returns the latest resumed streams, newest first.
func (r *Runner) ResumedStreams() []ResumedStream {
	now := r.o.Clock()
	r.traces.mu.Lock()
	defer r.traces.mu.Unlock()
	list := make([]ResumedStream, 0, len(r.traces.resumedStreams))
	for i := len(r.traces.resumedStreams) - 1; i >= 0; i-- {
		stream := r.traces.resumedStreams[i].ResumedStream
		stream.AgoMS = (now - r.traces.resumedStreams[i].resumedAt).Milliseconds()
		list = append(list, stream)
	}
	return list
}

// TraceHandler serves GET /v1/requests/{id}.
func (r *Runner) TraceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		trace, ok := r.Trace(request.PathValue("id"))
		if !ok {
			httpapi.WriteError(w, reason.New(reason.NotFound, "no trace of this request is kept here"))
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, trace)
	})
}

// ResumedStreamsHandler serves GET /v1/streams.
func (r *Runner) ResumedStreamsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body := struct {
			Resumed []ResumedStream `json:"resumed"`
		}{r.ResumedStreams()}
		httpapi.WriteJSON(w, http.StatusOK, body)
	})
}
