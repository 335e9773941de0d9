package world

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
)

// deskProcessingTime is the time that a desk takes for a request.
const deskProcessingTime = 8 * time.Millisecond

// DeskFaults gives the percentage of desk requests that fail in each way; their sum
// is at most 100. The desk has run the request in all of them. All responses can be
// delayed too.
type DeskFaults struct {
	FailPercent     atomic.Int32 // status 500
	LosePercent     atomic.Int32 // connection closed without a response
	HangPercent     atomic.Int32 // no response while the connection is open
	TruncatePercent atomic.Int32 // connection closed in the middle of the response
	ForeignPercent  atomic.Int32 // response carries the attempt ID of another request
	DelayMS         atomic.Int32 // of each response, in addition to deskProcessingTime
}

// NewDesk returns an endpoint of a plain HTTP service, the desk, which serves orders
// and lookups. It is not started.
func NewDesk(service, domain string, slots int, store *Store, requestLog *RequestLog, faults *DeskFaults) *Endpoint {
	e := &Endpoint{Service: service, Domain: domain, version: firstVersion, Slots: slots, store: store, requestLog: requestLog}
	e.serve = func(e *Endpoint, id string, w http.ResponseWriter, r *http.Request) { serveDesk(e, faults, id, w, r) }
	return e
}

func serveDesk(e *Endpoint, faults *DeskFaults, incarnationID string, w http.ResponseWriter, r *http.Request) {
	body := e.recordRequest(incarnationID, r)
	if poison := e.poisonContent(r.RequestURI, body); poison != nil {
		go poison.End(e)
		<-r.Context().Done()
		return
	}
	if !wait.For(r.Context(), deskProcessingTime+time.Duration(faults.DelayMS.Load())*time.Millisecond) {
		return
	}
	attempt := r.Header.Get("Hibiscusstair-Attempt-Id")
	w.Header().Set("Hibiscusstair-Server-Signature", "s."+incarnationID)
	switch draw := rand.Int32N(100); {
	case draw < faults.FailPercent.Load():
		w.WriteHeader(http.StatusInternalServerError)
		return
	case draw < faults.FailPercent.Load()+faults.LosePercent.Load():
		panic(http.ErrAbortHandler)
	case draw < faults.FailPercent.Load()+faults.LosePercent.Load()+faults.HangPercent.Load():
		<-r.Context().Done()
		return
	case draw < faults.FailPercent.Load()+faults.LosePercent.Load()+faults.HangPercent.Load()+faults.TruncatePercent.Load():
		w.Header().Set("Content-Length", "1000")
		_, _ = fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	case draw < faults.FailPercent.Load()+faults.LosePercent.Load()+faults.HangPercent.Load()+faults.TruncatePercent.Load()+faults.ForeignPercent.Load():
		w.Header().Set("Hibiscusstair-Attempt-Id", "of-another-request")
		attempt = "of-another-request"
	}
	_, _ = fmt.Fprint(w, DeskResponse(attempt, Hash(body)))
}

// DeskResponse returns the body of a desk's response.
func DeskResponse(attempt string, bodyHash uint64) string {
	return fmt.Sprintf("%s:%x", attempt, bodyHash)
}
