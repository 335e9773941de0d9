package world

import (
	"encoding/json"
	"net/http"
	"time"
)

// StatusFault is what happens to writes of a status.
type StatusFault int

// Faults of writes of a status.
const (
	// StatusAnswered is no fault.
	StatusAnswered StatusFault = iota
	// StatusUnanswered means that writes are executed, but get no response.
	StatusUnanswered
	// StatusDelayed means that writes get no response and are executed seconds later if
	// their revision still holds.
	StatusDelayed
)

// statusDelay is the time after which a delayed write of a status is executed.
const statusDelay = 3 * time.Second

// SetStatusFault sets what happens to writes of a status.
func (s *Store) SetStatusFault(fault StatusFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusFault = fault
}

// Status decodes the status of an object. It returns false if there is none.
func (s *Store) Status(kind, name string, into any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.objects[kind][name].Status
	return len(status) > 0 && json.Unmarshal(status, into) == nil
}

// statusWrite is the body of a write of a status.
type statusWrite struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Status json.RawMessage `json:"status"`
}

func (s *Store) putStatus(w http.ResponseWriter, r *http.Request, kind, name string) {
	var write statusWrite
	if err := json.NewDecoder(r.Body).Decode(&write); err != nil || write.Metadata.Name != name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.statusFault
	s.mu.Unlock()
	switch fault {
	case StatusUnanswered:
		s.applyStatus(kind, name, write)
		panic(http.ErrAbortHandler)
	case StatusDelayed:
		time.AfterFunc(statusDelay, func() { s.applyStatus(kind, name, write) })
		panic(http.ErrAbortHandler)
	}
	object, status := s.applyStatus(kind, name, write)
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(object)
}

// applyStatus sets the status of an object that has the revision of the write. It returns
// the object as it then is and the response status.
func (s *Store) applyStatus(kind, name string, write statusWrite) (Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind][name]
	switch {
	case !ok:
		return object, http.StatusNotFound
	case object.Metadata.Revision != write.Metadata.Revision:
		return object, http.StatusConflict
	}
	s.revision++
	object.Status, object.Metadata.Revision = write.Status, s.revision
	s.objects[kind][name] = object
	s.record(storeEvent{Object: object, kind: kind})
	return object, http.StatusOK
}
