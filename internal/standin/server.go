// Package standin plays the platform, the workers and the executors for tests
// and demonstrations. Each stand-in is small, keeps everything in memory, and
// fails on demand: POST /control names the failures of its own, POST /silence
// and POST /die those that all have.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout = 10 * time.Second
	closeTimeout  = 2 * time.Second
)

// ErrDied is returned by Run after POST /die.
var ErrDied = errors.New("died on request")

// Server serves one stand-in on a loopback address.
type Server struct {
	Address string // HOST:PORT to listen on; Listen sets the one that it got
	Handler http.Handler

	listener *listener
	server   *http.Server
	died     chan struct{}
}

// Listen opens the address, so that it can be told to others before Run.
func (s *Server) Listen(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Address, err)
	}
	s.listener = &listener{Listener: l, open: map[*conn]struct{}{}}
	s.Address = l.Addr().String()
	return nil
}

// Run serves HTTP/1.1 and cleartext HTTP/2 until the context ends, then lets the
// requests in flight end.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Listen(ctx); err != nil {
			return err
		}
	}
	s.died = make(chan struct{}, 1)
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s.server = &http.Server{
		Handler:           s.handler(),
		Protocols:         p,
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		s.shutDown(context.WithoutCancel(ctx))
	})
	err := s.server.Serve(s.listener)
	if !stop() {
		<-ended
	}
	s.listener.cut()
	select {
	case <-s.died:
		return ErrDied
	default:
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", s.Address, err)
	}
	return nil
}

// connKey finds the connection of a request in its context.
type connKey struct{}

// handler adds what every stand-in answers.
func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /silence", s.silence)
	m.HandleFunc("POST /die", s.die)
	m.Handle("/", s.Handler)
	return m
}

// silence makes every connection that is open now silent for good, but for the
// one that asks; new connections work.
func (s *Server) silence(w http.ResponseWriter, r *http.Request) {
	asking, _ := r.Context().Value(connKey{}).(*conn)
	answer(w, http.StatusOK, SilenceAnswer{Silenced: s.listener.silence(asking)})
}

// SilenceAnswer answers POST /silence.
type SilenceAnswer struct {
	Silenced int `json:"silenced"` // number of connections
}

// die cuts every connection and refuses new ones, as a VM that is gone does.
func (s *Server) die(http.ResponseWriter, *http.Request) {
	s.died <- struct{}{}
	s.listener.cut()
	_ = s.server.Close()
}

// shutDown stops serving, and cuts off what doesn't end in time.
func (s *Server) shutDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}
