// Package store is a stand-in for the platform's object store and for its list of
// instances, which shows changes with a delay. Both fail on demand.
package store

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

const (
	maxValueBytes   = 1 << 20
	maxWatchTimeout = time.Minute
)

// Options configures a Server.
type Options struct {
	// ReadsPerSecond and WritesPerSecond limit the calls of all clients together.
	// The burst is the number of calls of one second.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// InstanceListLag is the age at which a change of the list of instances
	// becomes visible.
	InstanceListLag time.Duration
}

// Faults is the body of POST /admin/faults. Each call replaces all faults. They
// affect only the calls under /v1.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// Silent leaves every call without a response until the client closes the
	// connection.
	Silent bool `json:"silent"`
	// LatencyMS delays each call, also one that Outage refuses.
	LatencyMS int `json:"latency_ms"`
	// WriteResponseLossRate is the probability that the response to a write is
	// lost after the write took effect.
	WriteResponseLossRate float64 `json:"lose_write_answer"`
	// Seed seeds the choice of the lost responses.
	Seed uint64 `json:"seed"`
}

// Server is an HTTP server that simulates the object store and the list of
// instances.
type Server struct {
	state        *state
	instanceList *instanceList
	reads        *rate.Limiter
	writes       *rate.Limiter
	mux          *http.ServeMux

	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	calls  map[string]uint64
}

// New returns a server without objects or instances.
func New(o Options) *Server {
	s := &Server{
		state:        newState(),
		instanceList: newInstanceList(o.InstanceListLag),
		reads:        rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(o.ReadsPerSecond)),
		writes:       rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(o.WritesPerSecond)),
		mux:          http.NewServeMux(),
		random:       rand.New(rand.NewPCG(0, 0)),
		calls:        make(map[string]uint64),
	}
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.withFaultsAndLimit("get", s.reads, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.withFaultsAndLimit("put", s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.withFaultsAndLimit("delete", s.writes, s.remove))
	s.mux.HandleFunc("GET /v1/objects", s.withFaultsAndLimit("list", s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch", s.withFaultsAndLimit("watch", s.reads, s.watch))
	s.mux.HandleFunc("GET /v1/instances", s.withFaultsAndLimit("instances", s.reads, s.instances))
	s.mux.HandleFunc("POST /admin/instances", s.putInstances)
	s.mux.HandleFunc("POST /admin/faults", s.setFaults)
	s.mux.HandleFunc("GET /admin/calls", s.showCalls)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return s
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// withFaultsAndLimit counts each call, applies the faults and the rate limit to it,
// and then passes it to next.
func (s *Server) withFaultsAndLimit(name string, limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name]++
		faults := s.faults
		s.mu.Unlock()
		if faults.Silent {
			// The HTTP server detects a closed connection only after the whole body
			// has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if faults.LatencyMS > 0 {
			time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
		}
		if faults.Outage {
			process.WriteError(w, http.StatusServiceUnavailable, "outage")
			return
		}
		if !limiter.Allow() {
			w.Header().Set("Retry-After", "1")
			process.WriteError(w, http.StatusTooManyRequests, "rate limit")
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	item, ok := s.state.get(r.PathValue("key"))
	if !ok {
		process.WriteError(w, http.StatusNotFound, "no such object")
		return
	}
	setVersion(w, item.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(item.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		process.WriteError(w, http.StatusRequestEntityTooLarge, "values have at most 1 MiB")
		return
	}
	s.write(w, r, value, false)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) { s.write(w, r, nil, true) }

func (s *Server) write(w http.ResponseWriter, r *http.Request, value []byte, remove bool) {
	matches, ok := writeCondition(r.Header)
	if !ok {
		process.WriteError(w, http.StatusBadRequest, "If-Match is not a version")
		return
	}
	version, ok := s.state.update(r.PathValue("key"), value, remove, matches)
	if s.drawResponseLoss() {
		process.CloseWithoutResponse(w)
		return
	}
	setVersion(w, version)
	if !ok {
		process.WriteError(w, http.StatusPreconditionFailed, "the object has another version")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeCondition returns the condition of If-Match or If-None-Match on the current
// version of an object, which is 0 if there is no object. ok is false if If-Match
// isn't a version.
func writeCondition(header http.Header) (matches func(uint64) bool, ok bool) {
	if header.Get("If-None-Match") == "*" {
		return func(current uint64) bool { return current == 0 }, true
	}
	match := strings.Trim(header.Get("If-Match"), `"`)
	if match == "" {
		return func(uint64) bool { return true }, true
	}
	want, err := strconv.ParseUint(match, 10, 64)
	if err != nil {
		return nil, false
	}
	return func(current uint64) bool { return current == want && want != 0 }, true
}

// drawResponseLoss decides at random whether the response to a write is lost.
func (s *Server) drawResponseLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.WriteResponseLossRate > 0 && s.random.Float64() < s.faults.WriteResponseLossRate
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	items, revision := s.state.list(r.URL.Query().Get("prefix"))
	process.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "objects": items})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		process.WriteError(w, http.StatusBadRequest, "after is not a revision")
		return
	}
	timeoutMS, _ := strconv.ParseInt(query.Get("timeout_ms"), 10, 64)
	timeout := min(time.Duration(timeoutMS)*time.Millisecond, maxWatchTimeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		changes, revision, next, ok := s.state.changesSince(query.Get("prefix"), after)
		if !ok {
			process.WriteError(w, http.StatusGone, "the revision is compacted")
			return
		}
		if len(changes) > 0 {
			process.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "changes": changes})
			return
		}
		select {
		case <-next:
		case <-timer.C:
			process.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "changes": changes})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) instances(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, map[string]any{"instances": s.instanceList.visibleInstances(time.Now())})
}

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Instances []Instance `json:"instances"`
		Remove    []string   `json:"remove"`
	}
	if !process.ReadJSON(w, r, &body) {
		return
	}
	s.instanceList.update(time.Now(), body.Instances, body.Remove)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !process.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, 0))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, s.calls)
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}
