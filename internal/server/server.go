// Package server is the entry daemon: it connects the decision logic to the log, the
// platform's list, the workers, the executors, the callers and the other entry VMs.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
	"github.com/lacewingdoor/lacewingdoor/claimer"
	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/follower"
	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/forwarder"
	"github.com/lacewingdoor/lacewingdoor/internal/node/acceptor"
	"github.com/lacewingdoor/lacewingdoor/internal/runner"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/recorder"
	"github.com/lacewingdoor/lacewingdoor/reducer"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// ErrKilled stops the daemon at once when it is the cancellation cause of Run's
// context. Nobody is notified, as if the process had died.
var ErrKilled = errors.New("killed")

// inboxSize is the maximum number of messages queued for the control goroutine.
const inboxSize = 8192 // several times the reports of 1,000 workers in a second

// Server is an entry VM. Its exported fields are set before Run.
type Server struct {
	Settings decoder.Settings
	Logger   *logrus.Logger
	Now      func() time.Time // the system's clock if nil
	// Started is called with the addresses on which the VM listens.
	Started func(callers, peers string)

	inbox             chan message
	view              atomic.Pointer[view]
	viewChanged       broadcaster
	lastLive          []string
	lastMissingSince  time.Time
	routingInputs     routingInputs
	config            *publisher.Reader
	leaving           atomic.Bool
	sequence          atomic.Uint64
	incarnation       uint64
	peerAuthenticator authenticator.PeerAuthenticator
	done              <-chan struct{} // closed when the daemon ends

	peersAddress   string
	peers, workers *http.Client
	logService     connector.Log
	list           connector.List

	controlAppender, configAppender, claimsAppender *follower.Appender

	claimer   *claimer.Claimer
	digests   *digestCache
	runTimes  *runTimeEstimator
	throttled *throttledLogger
	recorder  *recorder.Recorder
	renewer   *renewer
	reporter  *reporter
	router    *router.Router
	runner    *runner.Runner

	connections connectionTracker

	callersAcceptor, peersAcceptor *acceptor.Acceptor

	sender *forwarder.Sender
}

// Run serves until ctx ends, and then shuts down gracefully: it finishes every
// request in flight before it returns. The error is nil after such a shutdown.
func (s *Server) Run(ctx context.Context) error {
	if err := s.prepare(); err != nil {
		return err
	}
	callers, err := s.listen(ctx, "callers", s.Settings.CallersAddress)
	if err != nil {
		return err
	}
	peers, err := s.listen(ctx, "entry VMs", s.Settings.PeersAddress)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	s.peersAddress = peers.Addr().String()
	return s.serve(ctx, callers, peers)
}

// listen listens with plain TCP. Where the kernel supports it, Go defaults to
// Multipath TCP, on which refuseNewConnections cannot set a filter.
func (s *Server) listen(ctx context.Context, clients, address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s at %s: %w", clients, address, err)
	}
	return l, nil
}

// prepare initialises the components of the server.
func (s *Server) prepare() error {
	if s.Now == nil {
		s.Now = time.Now
	}
	b, err := os.ReadFile(s.Settings.SecretFile)
	if err != nil {
		return fmt.Errorf("read the secret of entry VMs: %w", err)
	}
	if s.peerAuthenticator, err = authenticator.NewPeerAuthenticator(b); err != nil {
		return fmt.Errorf("read the secret of entry VMs in %s: %w", s.Settings.SecretFile, err)
	}
	s.inbox = make(chan message, inboxSize)
	s.incarnation = uint64(s.Now().UnixNano())
	s.config = &publisher.Reader{}
	s.throttled = &throttledLogger{to: s.Logger, now: s.Now}
	s.recorder = recorder.New()
	s.connections.now = s.Now
	s.digests = newDigestCache()
	s.renewer = newRenewer(s)
	s.reporter = newReporter(s)
	s.peers, s.workers = peerClient(), workerClient()
	s.logService = connector.Log{Address: s.Settings.LogAddress}
	s.list = connector.List{Address: s.Settings.ListAddress}
	s.controlAppender = s.newAppender(streamControl)
	s.configAppender = s.newAppender(streamConfig)
	s.claimsAppender = s.newAppender(streamClaims)
	s.runner = &runner.Runner{
		Append:  s.appendControl,
		Fence:   s.fence,
		Command: s.command,
		Post:    func(e reducer.Event) { s.post(eventMessage{e}) },
	}
	s.prepareRouting()
	s.prepareAcceptors()
	s.view.Store(&view{
		self:     s.Settings.VM,
		control:  s.newControl(),
		config:   s.config.State(),
		members:  heartbeater.New(s.Settings.VM),
		division: limiter.NewDivision(s.Settings.VM, heartbeater.SuspectAfter),
		logUp:    true,
	})
	return nil
}

// serve runs all goroutines of the daemon until ctx ends and all requests are
// finished.
func (s *Server) serve(ctx context.Context, callers, peers net.Listener) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	s.done = runCtx.Done()
	s.runner.Start(runCtx)
	callerHTTP := s.callersServer()
	peerHTTP := s.peersServer()
	for _, f := range s.loops() {
		g.Go(func() error { f(runCtx); return nil })
	}
	g.Go(func() error {
		return serveError("callers", callerHTTP.Serve(s.callersAcceptor.Wrap(callers, callerHTTP)))
	})
	g.Go(func() error { return serveError("entry VMs", peerHTTP.Serve(s.peersAcceptor.Wrap(peers, peerHTTP))) })
	if s.Started != nil {
		s.Started(callers.Addr().String(), s.peersAddress)
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
		}
		if errors.Is(context.Cause(ctx), ErrKilled) {
			stop()
			return errors.Join(callerHTTP.Close(), peerHTTP.Close())
		}
		err := s.shutDown(context.WithoutCancel(ctx), callerHTTP, callers)
		stop()
		return errors.Join(err, peerHTTP.Close())
	})
	return g.Wait()
}

// loops returns the background loops of the daemon, without the listeners.
func (s *Server) loops() []func(context.Context) {
	return []func(context.Context){
		s.bootstrap,
		s.runHeartbeats,
		s.runControl,
		s.followClaims,
		s.followConfig,
		s.followControl,
		s.pollList,
		s.maintainSnapshot,
		s.renewer.runReports,
		s.renewer.runRenewals,
		func(c context.Context) { _ = s.claimer.Run(c) },
		func(c context.Context) { _ = s.claimsAppender.Run(c) },
		func(c context.Context) { _ = s.configAppender.Run(c) },
		func(c context.Context) { _ = s.controlAppender.Run(c) },
	}
}

func serveError(clients string, err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", clients, err)
}

// post sends a message to the control goroutine, unless the daemon ends first.
func (s *Server) post(m message) {
	select {
	case s.inbox <- m:
	case <-s.done:
	}
}

func (s *Server) controlState() reducer.State { return s.view.Load().control }

// newControl returns an empty control state.
func (s *Server) newControl() reducer.State {
	return reducer.New(s.Settings.VM).WithSettings(reducer.Settings{
		Retention: s.Settings.Retention,
	})
}

func (s *Server) log(step string) *logrus.Entry {
	return s.Logger.WithField("step", step)
}

func (s *Server) observe(measure, organisation, class string, d time.Duration) {
	s.recorder.Observe(recorder.Series{Measure: measure, Organisation: organisation, Class: class}, d)
}
