// Package service is a stand-in of a plain service beside the engines: it books
// orders, which must not be sent twice, and answers lookups.
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
	// ChecksFence makes the service refuse orders with an old fencing number.
	ChecksFence bool
	// OffersLookup makes the service answer GET /orders/{key}.
	OffersLookup bool
	// BookingLog is a file to which each booking is appended; empty keeps the book in
	// memory only. The file survives a crash of the service.
	BookingLog string
	// Exit ends the process for a crash on demand.
	Exit func()
}

// Faults is the body of POST /admin/faults. Each call replaces the whole.
type Faults struct {
	// ResponseLossRate is the probability that an order is booked while its answer is
	// lost.
	ResponseLossRate float64 `json:"lose_answer"`
	Seed             uint64  `json:"seed"`
	// LatencyMS delays the booking of an order and the answer of a lookup.
	LatencyMS int `json:"slow_ms"`
	// Crash is "before" or "after" the booking of the next order.
	Crash string `json:"crash"`
}

// OrderBookings is what the book has of one order key.
type OrderBookings struct {
	Key      string   `json:"key"`
	Bookings int      `json:"bookings"`
	Fences   []uint64 `json:"fences"`
	Receipt  string   `json:"receipt"`
	Body     string   `json:"body"`
}

// Server is the stand-in.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu     sync.Mutex
	book   map[string]*OrderBookings
	fences map[string]uint64
	faults Faults
	random *rand.Rand
	file   *os.File
}

// New returns a server whose book has the bookings of the file.
func New(o Options) (*Server, error) {
	s := &Server{
		options: o,
		mux:     http.NewServeMux(),
		book:    make(map[string]*OrderBookings),
		fences:  make(map[string]uint64),
		random:  rand.New(rand.NewPCG(0, 0)),
	}
	if o.BookingLog != "" {
		if err := s.open(o.BookingLog); err != nil {
			return nil, err
		}
	}
	s.mux.HandleFunc("POST /orders", s.order)
	s.mux.HandleFunc("GET /orders/{key}", s.lookupOrder)
	s.mux.HandleFunc("PUT /orders/{key}/fence", s.raiseFence)
	s.mux.HandleFunc("GET /lookups/{id}", s.lookup)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /admin/book", s.showBook)
	s.mux.HandleFunc("POST /admin/faults", s.setFaults)
	return s, nil
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// record is one line of the book's file.
type record struct {
	Key   string `json:"key"`
	Fence uint64 `json:"fence"`
	Body  string `json:"body"`
}

func (s *Server) open(path string) error {
	book, err := ReadBookingLog(path)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	for key, entry := range book {
		s.book[key] = entry
	}
	s.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// ReadBookingLog reads the book's file.
func ReadBookingLog(path string) (map[string]*OrderBookings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	book := make(map[string]*OrderBookings)
	decoder := json.NewDecoder(file)
	for {
		var line record
		if err := decoder.Decode(&line); err == io.EOF {
			return book, nil
		} else if err != nil {
			return nil, fmt.Errorf("book %s: %w", path, err)
		}
		add(book, line)
	}
}

func add(book map[string]*OrderBookings, line record) *OrderBookings {
	entry := book[line.Key]
	if entry == nil {
		sum := sha256.Sum256([]byte(line.Key))
		entry = &OrderBookings{Key: line.Key, Receipt: "receipt-" + hex.EncodeToString(sum[:8])}
		book[line.Key] = entry
	}
	entry.Bookings++
	entry.Fences = append(entry.Fences, line.Fence)
	entry.Body = line.Body
	return entry
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	key := r.Header.Get("Order-Key")
	fence, fenceErr := strconv.ParseUint(r.Header.Get("Order-Fence"), 10, 64)
	if err != nil || fenceErr != nil || key == "" || !json.Valid(body) {
		process.WriteError(w, http.StatusBadRequest, "an order has Order-Key, a numeric Order-Fence and a JSON body")
		return
	}
	faults := s.currentFaults(true)
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	if faults.Crash == "before" {
		s.options.Exit()
	}
	entry, refused := s.bookOrder(record{Key: key, Fence: fence, Body: string(body)})
	if refused {
		process.WriteError(w, http.StatusConflict, "the fencing number is too old; the order is not booked")
		return
	}
	if faults.Crash == "after" {
		s.options.Exit()
	}
	if s.loses(faults) {
		process.CloseWithoutResponse(w)
		return
	}
	process.WriteJSON(w, http.StatusCreated, map[string]any{"key": key, "receipt": entry.Receipt})
}

// bookOrder books unless the fencing number is too old. It doesn't recognise an
// order that was booked before: an order that is sent twice is booked twice.
func (s *Server) bookOrder(line record) (entry OrderBookings, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFence && line.Fence < s.fences[line.Key] {
		return OrderBookings{}, true
	}
	if s.file != nil {
		text, _ := json.Marshal(line)
		if _, err := s.file.Write(append(text, '\n')); err != nil {
			return OrderBookings{}, true
		}
	}
	return *add(s.book, line), false
}

func (s *Server) lookupOrder(w http.ResponseWriter, r *http.Request) {
	if !s.options.OffersLookup {
		process.WriteError(w, http.StatusMethodNotAllowed, "this service offers no lookup of orders")
		return
	}
	faults := s.currentFaults(false)
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.book[r.PathValue("key")]
	if entry == nil {
		process.WriteError(w, http.StatusNotFound, "not booked")
		return
	}
	process.WriteJSON(w, http.StatusOK, map[string]any{"key": entry.Key, "receipt": entry.Receipt})
}

func (s *Server) raiseFence(w http.ResponseWriter, r *http.Request) {
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
	if body.Fence < s.fences[key] {
		process.WriteError(w, http.StatusConflict, "a higher fencing number is set")
		return
	}
	s.fences[key] = body.Fence
	process.WriteJSON(w, http.StatusOK, map[string]any{"fence": body.Fence, "booked": s.book[key] != nil})
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults(false)
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	process.WriteJSON(w, http.StatusOK, map[string]string{"id": r.PathValue("id"), "status": "in_print"})
}

// currentFaults returns the faults and takes a planned crash away from the
// following orders.
func (s *Server) currentFaults(order bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if order {
		s.faults.Crash = ""
	}
	return faults
}

func (s *Server) loses(faults Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return faults.ResponseLossRate > 0 && s.random.Float64() < faults.ResponseLossRate
}

func (s *Server) showBook(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, map[string]any{"orders": s.book})
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
