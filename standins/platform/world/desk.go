package world

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// deskWork is how long a desk works on a request.
const deskWork = 8 * time.Millisecond

// DeskFaults are shares of requests, in percent, that fail in some way.
type DeskFaults struct {
	Fail    atomic.Int32 // run and answered with 500
	Lose    atomic.Int32 // run, the connection ends without an answer
	Hang    atomic.Int32 // run, never answered
	Cut     atomic.Int32 // run, the answer breaks off
	Foreign atomic.Int32 // run, answered with another request's answer
}

// NewDesk returns a plain service that is not started.
func NewDesk(service, domain string, slots int, store *Store, book *Book, faults *DeskFaults) *Endpoint {
	e := &Endpoint{Service: service, Domain: domain, Slots: slots, store: store, book: book}
	e.serve = func(e *Endpoint, id string, w http.ResponseWriter, r *http.Request) { serveDesk(e, faults, id, w, r) }
	return e
}

func serveDesk(e *Endpoint, faults *DeskFaults, id string, w http.ResponseWriter, r *http.Request) {
	body := e.ran(id, r)
	if !sleep(r.Context(), deskWork) {
		return
	}
	attempt := r.Header.Get("Hibiscusstair-Attempt-Id")
	w.Header().Set("Hibiscusstair-Server-Signature", "s."+id)
	switch draw := rand.Int32N(100); {
	case draw < faults.Fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
		return
	case draw < faults.Fail.Load()+faults.Lose.Load():
		panic(http.ErrAbortHandler)
	case draw < faults.Fail.Load()+faults.Lose.Load()+faults.Hang.Load():
		<-r.Context().Done()
		return
	case draw < faults.Fail.Load()+faults.Lose.Load()+faults.Hang.Load()+faults.Cut.Load():
		w.Header().Set("Content-Length", "1000")
		_, _ = fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	case draw < faults.Fail.Load()+faults.Lose.Load()+faults.Hang.Load()+faults.Cut.Load()+faults.Foreign.Load():
		w.Header().Set("Hibiscusstair-Attempt-Id", "of-another-request")
		attempt = "of-another-request"
	}
	_, _ = fmt.Fprint(w, DeskAnswer(attempt, Hash(body)))
}

// DeskAnswer is the body of a desk's answer.
func DeskAnswer(attempt string, body uint64) string { return fmt.Sprintf("%s:%x", attempt, body) }
