package world

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// objectWrite is the body of a call that creates an object or replaces its specification.
type objectWrite struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// changeObject creates, replaces or removes an object.
func (s *Store) changeObject(w http.ResponseWriter, r *http.Request, kind, name string) {
	var write objectWrite
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&write); err != nil || write.Metadata.Name == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	revision := write.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		revision = parsed
	}
	if r.Method == http.MethodPost {
		name = write.Metadata.Name
	}
	s.mu.Lock()
	known, exists := s.objects[kind][name]
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost && exists, revision != 0 && exists && known.Metadata.Revision != revision:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(known)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
		writeJSON(w, known)
		return
	}
	s.Put(kind, name, write.Spec)
	s.get(w, kind, name)
}
