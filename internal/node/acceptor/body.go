package acceptor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

// handler returns a handler that charges the bodies of requests before they are read.
func (a *Acceptor) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, ok := q.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, q)
			return
		}
		phase := budgeter.PhaseReceive // the connection may be closed in favour of others until the body was read
		if q.Body == nil || q.Body == http.NoBody {
			phase = budgeter.PhaseHandle
		}
		if c.express {
			serveExpress(c, w, q, next)
			return
		}
		if c.http2.Load() {
			s := &stream{ResponseWriter: w, control: http.NewResponseController(w)}
			charged, err := c.beginStream()
			defer func() { c.endStream(charged) }()
			defer func() { _ = s.FlushError() }() // the response is held until it was sent
			w = s
			if err != nil {
				refuse(w)
				return
			}
		} else {
			c.body.Store(true)
			a.with(func(now time.Time, b *budgeter.Budgeter) { b.Enter(now, c.id, phase) })
		}
		if phase == budgeter.PhaseHandle {
			next.ServeHTTP(w, q)
			return
		}
		r := &body{ReadCloser: q.Body, conn: c, control: http.NewResponseController(w), started: time.Now(), left: q.ContentLength}
		_ = r.control.SetReadDeadline(r.started.Add(bodyGrace)) // also for a body that only net/http reads
		q.Body = r
		next.ServeHTTP(w, q)
		a.with(func(_ time.Time, b *budgeter.Budgeter) { b.Refund(c.id, r.charged) })
	})
}

// Charge charges n bytes to the connection of a request, for what its handler holds besides the
// request. It waits for room and returns an error that wraps budgeter.ErrNoRoom if there is none.
// The returned function ends the charge.
func Charge(ctx context.Context, n int64) (release func(), err error) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}, nil
	}
	if err := c.acceptor.charge(c.id, n); err != nil {
		return nil, err
	}
	return func() {
		c.acceptor.with(func(_ time.Time, b *budgeter.Budgeter) { b.Refund(c.id, n) })
	}, nil
}

// refuse answers a request for which there is no room and that was not handled. The response has
// no body, for which the client would have to grant a window.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// body is the body of a request. It must make progress.
type body struct {
	io.ReadCloser
	conn    *conn
	control *http.ResponseController
	started time.Time
	read    int64
	left    int64 // bytes that have not been read, negative if unknown
	charged int64
}

// Read charges the bytes before it reads them.
func (r *body) Read(p []byte) (int, error) {
	p = p[:min(len(p), budgeter.Piece)]
	if r.left > 0 {
		p = p[:min(int64(len(p)), r.left)]
	}
	factor := int64(r.conn.acceptor.Share.BodyFactor)
	charged := int64(len(p)) * factor
	if r.left == 0 {
		charged = 0 // only the end is to be read
	}
	if err := r.conn.acceptor.charge(r.conn.id, charged); err != nil {
		return 0, err
	}
	_ = r.control.SetReadDeadline(r.started.Add(bodyGrace + time.Duration(r.read)*time.Second/bodyRate))
	n, err := r.ReadCloser.Read(p)
	r.read += int64(n)
	if r.left > 0 {
		r.left -= int64(n)
	}
	kept := min(charged, int64(n)*factor)
	r.charged += kept
	r.conn.acceptor.with(func(_ time.Time, b *budgeter.Budgeter) { b.Refund(r.conn.id, charged-kept) })
	if errors.Is(err, io.EOF) {
		r.finish()
	}
	return n, err
}

// finish records that the request was read completely. The deadline is removed, as net/http
// watches the connection from here on and takes a missed deadline for a caller that is gone.
func (r *body) finish() {
	_ = r.control.SetReadDeadline(time.Time{})
	if !r.conn.http2.Load() {
		r.conn.acceptor.with(func(now time.Time, b *budgeter.Budgeter) { b.Enter(now, r.conn.id, budgeter.PhaseHandle) })
	}
}
