package server

import "net/http"

// closeWhenLeaving makes callers use another connection after this response while
// the VM is leaving. Otherwise a request could arrive as its connection is closed,
// and its caller would not know whether it ran.
func (s *Server) closeWhenLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h.ServeHTTP(&leavingWriter{ResponseWriter: w, leaving: s.leaving.Load}, q)
	})
}

// leavingWriter checks whether the VM is leaving when the response begins, since a
// request may have waited since before that.
type leavingWriter struct {
	http.ResponseWriter

	leaving       func() bool
	headerWritten bool
}

// WriteHeader begins the response.
func (w *leavingWriter) WriteHeader(status int) {
	if !w.headerWritten && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the response unless it has begun.
func (w *leavingWriter) Write(b []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
