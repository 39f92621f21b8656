package acceptor

import (
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

// stream is the response to an HTTP/2 request. A client that grants no window for a piece of it in
// time loses the request: deadlines of the connection do not apply while others of its requests
// make progress.
type stream struct {
	http.ResponseWriter

	control *http.ResponseController
}

// Write writes in pieces.
func (s *stream) Write(p []byte) (int, error) {
	written := 0
	for {
		var n int
		err := s.within(func() (err error) {
			n, err = s.ResponseWriter.Write(p[written:min(len(p), written+budgeter.Piece)])
			return err
		})
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// Flush implements [http.Flusher].
func (s *stream) Flush() { _ = s.FlushError() }

// FlushError sends what was written so far.
func (s *stream) FlushError() error { return s.within(s.control.Flush) }

// Unwrap returns the writer for [http.ResponseController].
func (s *stream) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// within calls a function that writes, with the time limit of one piece. The deadline is removed
// then, as it would end a request that has nothing to send.
func (s *stream) within(write func() error) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }()
	return write()
}
