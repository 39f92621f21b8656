package server

import "net/http"

// sendAway tells callers, while the VM leaves, to use another connection after
// this answer. Otherwise a request could meet its connection being closed, and
// its caller would not know whether it ran.
func (s *Server) sendAway(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h.ServeHTTP(&leavingWriter{ResponseWriter: w, leaving: s.leaving.Load}, q)
	})
}

// leavingWriter looks whether the VM leaves when an answer begins, for a request
// may have waited since before.
type leavingWriter struct {
	http.ResponseWriter

	leaving func() bool
	begun   bool
}

// WriteHeader begins the answer.
func (w *leavingWriter) WriteHeader(status int) {
	if !w.begun && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer unless it has begun.
func (w *leavingWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
