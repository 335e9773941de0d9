package httpapi

import "net/http"

// RequireResponse returns a handler that closes the connection if h returns without having
// begun a response. Otherwise net/http would answer with status 200 and no body: a success
// that a caller which has closed only its sending side still reads.
func RequireResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &responseRecorder{ResponseWriter: w}
		h.ServeHTTP(recorder, r)
		if !recorder.begun {
			panic(http.ErrAbortHandler) // net/http closes the connection
		}
	})
}

// responseRecorder records whether a response was begun.
type responseRecorder struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.begun = true
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
