// Package standin provides stand-ins for the platform, the workers and the executors, for
// tests and demonstrations. Each is small, keeps its state in memory and supports
// fault injection: POST /control sets the faults specific to a stand-in, POST /silence
// and POST /die those common to all.
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
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 2 * time.Second
)

// ErrDied is returned by Run after POST /die.
var ErrDied = errors.New("stand-in terminated by POST /die")

// Server serves one stand-in over HTTP.
type Server struct {
	Address string // HOST:PORT to listen on; Listen replaces it with the bound address
	Handler http.Handler

	listener *listener
	server   *http.Server
	died     chan struct{}
}

// Listen binds the address, so that it is known before Run.
func (s *Server) Listen(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Address, err)
	}
	s.listener = &listener{Listener: l, conns: map[*conn]struct{}{}}
	s.Address = l.Addr().String()
	return nil
}

// Run serves HTTP/1.1 and cleartext HTTP/2 until ctx ends, then shuts down
// gracefully.
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
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		s.shutDown(context.WithoutCancel(ctx))
	})
	err := s.server.Serve(s.listener)
	if !stop() {
		<-shutdownDone
	}
	s.listener.closeAll()
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

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// handler adds the endpoints common to all stand-ins.
func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /silence", s.handleSilence)
	m.HandleFunc("POST /die", s.handleDie)
	m.Handle("/", s.Handler)
	return m
}

// handleSilence makes all open connections except the requester's silent permanently;
// new connections work.
func (s *Server) handleSilence(w http.ResponseWriter, r *http.Request) {
	requester, _ := r.Context().Value(connContextKey{}).(*conn)
	writeJSON(w, http.StatusOK, SilenceResponse{Silenced: s.listener.silence(requester)})
}

// SilenceResponse is the response to POST /silence.
type SilenceResponse struct {
	Silenced int `json:"silenced"` // number of connections made silent
}

// handleDie closes all connections and the listener, as when a VM crashes.
func (s *Server) handleDie(http.ResponseWriter, *http.Request) {
	s.died <- struct{}{}
	s.listener.closeAll()
	_ = s.server.Close()
}

// shutDown stops serving, and closes connections that don't end in time.
func (s *Server) shutDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}
