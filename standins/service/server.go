// Package service is a stand-in for a backend service that isn't an engine. It
// books an order each time that it receives it, so that tests detect orders that
// were sent twice, and responds to lookups.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

const maxOrderBytes = 4 << 20

// Options configures a Server.
type Options struct {
	// ChecksFence makes the service refuse an order whose fencing token is lower
	// than the one that was set for its key.
	ChecksFence bool
	// OffersLookup makes the service respond to GET /orders/{key}.
	OffersLookup bool
	// BookingLog is the path of the file to which each booking is appended, so
	// that the bookings survive a crash of the service. If it is empty, they are
	// kept in memory only.
	BookingLog string
	// Exit ends the process to simulate a crash.
	Exit func()
}

// Faults is the body of POST /admin/faults. Each call replaces all faults.
type Faults struct {
	// ResponseLossRate is the probability that the response to an order is lost
	// after the booking.
	ResponseLossRate float64 `json:"lose_answer"`
	// Seed seeds the choice of the lost responses.
	Seed uint64 `json:"seed"`
	// LatencyMS delays each booking and each response to a lookup, also of an
	// order.
	LatencyMS int `json:"slow_ms"`
	// Crash makes the service crash "before" or "after" it books the next order.
	Crash string `json:"crash"`
}

// OrderBookings has the bookings of one order key. Bookings is their number, Body
// the body of the last one.
type OrderBookings struct {
	Key      string   `json:"key"`
	Bookings int      `json:"bookings"`
	Fences   []uint64 `json:"fences"`
	Receipt  string   `json:"receipt"`
	Body     string   `json:"body"`
}

// Server is an HTTP server that simulates the service.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu            sync.Mutex
	bookings      map[string]*OrderBookings
	fencingTokens map[string]uint64
	faults        Faults
	random        *rand.Rand
	bookingLog    *os.File // nil if the bookings are in memory only
}

// New returns a server with the bookings of the booking log.
func New(o Options) (*Server, error) {
	s := &Server{
		options:       o,
		mux:           http.NewServeMux(),
		bookings:      make(map[string]*OrderBookings),
		fencingTokens: make(map[string]uint64),
		random:        rand.New(rand.NewPCG(0, 0)),
	}
	if o.BookingLog != "" {
		if err := s.openBookingLog(o.BookingLog); err != nil {
			return nil, err
		}
	}
	s.mux.HandleFunc("POST /orders", s.handleOrder)
	s.mux.HandleFunc("GET /orders/{key}", s.handleOrderLookup)
	s.mux.HandleFunc("PUT /orders/{key}/fence", s.setFencingToken)
	s.mux.HandleFunc("GET /lookups/{id}", s.handleLookup)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /admin/book", s.showBookings)
	s.mux.HandleFunc("POST /admin/faults", s.setFaults)
	return s, nil
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// booking is one line of the booking log.
type booking struct {
	Key   string `json:"key"`
	Fence uint64 `json:"fence"`
	Body  string `json:"body"`
}

func (s *Server) openBookingLog(path string) error {
	bookings, err := ReadBookingLog(path)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	for key, entry := range bookings {
		s.bookings[key] = entry
	}
	s.bookingLog, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// ReadBookingLog returns the bookings of a booking log by order key.
func ReadBookingLog(path string) (map[string]*OrderBookings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	bookings := make(map[string]*OrderBookings)
	decoder := json.NewDecoder(file)
	for {
		var record booking
		if err := decoder.Decode(&record); err == io.EOF {
			return bookings, nil
		} else if err != nil {
			return nil, fmt.Errorf("read booking log %s: %w", path, err)
		}
		addBooking(bookings, record)
	}
}

func addBooking(bookings map[string]*OrderBookings, record booking) *OrderBookings {
	entry := bookings[record.Key]
	if entry == nil {
		sum := sha256.Sum256([]byte(record.Key))
		entry = &OrderBookings{Key: record.Key, Receipt: "receipt-" + hex.EncodeToString(sum[:8])}
		bookings[record.Key] = entry
	}
	entry.Bookings++
	entry.Fences = append(entry.Fences, record.Fence)
	entry.Body = record.Body
	return entry
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	key := r.Header.Get("Order-Key")
	fence, fenceErr := strconv.ParseUint(r.Header.Get("Order-Fence"), 10, 64)
	if err != nil || fenceErr != nil || key == "" || !json.Valid(body) {
		process.WriteError(w, http.StatusBadRequest, "an order has Order-Key, a numeric Order-Fence and a JSON body")
		return
	}
	faults := s.takeFaults(true)
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	if faults.Crash == "before" {
		s.options.Exit()
	}
	entry, refused := s.bookOrder(booking{Key: key, Fence: fence, Body: string(body)})
	if refused {
		process.WriteError(w, http.StatusConflict, "the fencing number is too old; the order is not booked")
		return
	}
	if faults.Crash == "after" {
		s.options.Exit()
	}
	if s.drawResponseLoss(faults) {
		process.CloseWithoutResponse(w)
		return
	}
	process.WriteJSON(w, http.StatusCreated, map[string]any{"key": key, "receipt": entry.Receipt})
}

// bookOrder books an order unless its fencing token is too low or the booking log
// can't be written; in both cases it is refused. It doesn't detect duplicates, so an
// order that is sent twice is booked twice.
func (s *Server) bookOrder(record booking) (entry OrderBookings, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFence && record.Fence < s.fencingTokens[record.Key] {
		return OrderBookings{}, true
	}
	if s.bookingLog != nil {
		text, _ := json.Marshal(record)
		if _, err := s.bookingLog.Write(append(text, '\n')); err != nil {
			return OrderBookings{}, true
		}
	}
	return *addBooking(s.bookings, record), false
}

func (s *Server) handleOrderLookup(w http.ResponseWriter, r *http.Request) {
	if !s.options.OffersLookup {
		process.WriteError(w, http.StatusMethodNotAllowed, "this service offers no lookup of orders")
		return
	}
	faults := s.takeFaults(false)
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.bookings[r.PathValue("key")]
	if entry == nil {
		process.WriteError(w, http.StatusNotFound, "not booked")
		return
	}
	process.WriteJSON(w, http.StatusOK, map[string]any{"key": entry.Key, "receipt": entry.Receipt})
}

// setFencingToken sets the fencing token of a key unless a higher one is set.
func (s *Server) setFencingToken(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Fence uint64 `json:"fence"`
	}
	if !process.ReadJSON(w, r, &body) {
		return
	}
	if !s.options.ChecksFence {
		process.WriteError(w, http.StatusMethodNotAllowed, "this service ignores fencing numbers")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	if body.Fence < s.fencingTokens[key] {
		process.WriteError(w, http.StatusConflict, "a higher fencing number is set")
		return
	}
	s.fencingTokens[key] = body.Fence
	process.WriteJSON(w, http.StatusOK, map[string]any{"fence": body.Fence, "booked": s.bookings[key] != nil})
}

func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request) {
	faults := s.takeFaults(false)
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	process.WriteJSON(w, http.StatusOK, map[string]string{"id": r.PathValue("id"), "status": "in_print"})
}

// takeFaults returns the current faults. For an order it also resets Crash, so
// that only one order crashes the service.
func (s *Server) takeFaults(forOrder bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if forOrder {
		s.faults.Crash = ""
	}
	return faults
}

// drawResponseLoss decides at random whether a response is lost.
func (s *Server) drawResponseLoss(faults Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return faults.ResponseLossRate > 0 && s.random.Float64() < faults.ResponseLossRate
}

func (s *Server) showBookings(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, map[string]any{"orders": s.bookings})
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
