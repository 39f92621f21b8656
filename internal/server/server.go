// Package server is the entry daemon: it wires the deciding packages to the log,
// the list, the workers, the executors, the callers and the other entry VMs.
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
	"github.com/lacewingdoor/lacewingdoor/internal/runner"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/recorder"
	"github.com/lacewingdoor/lacewingdoor/reducer"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// ErrKilled as the cause of the end of Run's context stops the daemon at once,
// with no word to anybody, as if its process had died.
var ErrKilled = errors.New("killed")

// inboxSize is how many messages may wait for the control goroutine.
const inboxSize = 8192 // a second of reports from 1,000 workers, several times over

// Server is one entry VM. Its fields are set before Run.
type Server struct {
	Settings decoder.Settings
	Logger   *logrus.Logger
	Now      func() time.Time // the system's clock when nil
	// Started is told the addresses that the VM listens on, once it does.
	Started func(callers, peers string)

	inbox       chan message
	view        atomic.Pointer[view]
	changed     broadcaster
	lastLive    []string
	lastMissing time.Time
	traffic     trafficInputs
	config      *publisher.Reader
	leaving     atomic.Bool
	sequence    atomic.Uint64
	incarnation uint64
	peerKey     authenticator.Peer
	done        <-chan struct{} // closed when the daemon ends

	peersAddress   string
	peers, workers *http.Client
	logService     connector.Log
	list           connector.List

	controlAppender, configAppender, claimsAppender *follower.Appender

	claimer  *claimer.Claimer
	learner  *learner
	quiet    *quietLogger
	recorder *recorder.Recorder
	renewer  *renewer
	reporter *reporter
	router   *router.Router
	runner   *runner.Runner

	connections connections
	sender      *forwarder.Sender
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

// listen listens with plain TCP: where the kernel has Multipath TCP, Go listens with
// that, and refuseNew can set no filter on it.
func (s *Server) listen(ctx context.Context, whom, address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s at %s: %w", whom, address, err)
	}
	return l, nil
}

// prepare builds what Run needs.
func (s *Server) prepare() error {
	if s.Now == nil {
		s.Now = time.Now
	}
	b, err := os.ReadFile(s.Settings.SecretFile)
	if err != nil {
		return fmt.Errorf("read the secret of entry VMs: %w", err)
	}
	if s.peerKey, err = authenticator.NewPeer(b); err != nil {
		return fmt.Errorf("read the secret of entry VMs in %s: %w", s.Settings.SecretFile, err)
	}
	s.inbox = make(chan message, inboxSize)
	s.incarnation = uint64(s.Now().UnixNano())
	s.config = &publisher.Reader{}
	s.quiet = &quietLogger{to: s.Logger, now: s.Now}
	s.recorder = recorder.New()
	s.connections.now = s.Now
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
	s.prepareTraffic()
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

// serve runs every part until ctx ends and all requests are finished.
func (s *Server) serve(ctx context.Context, callers, peers net.Listener) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, run := errgroup.WithContext(run)
	s.done = run.Done()
	s.runner.Start(run)
	front := s.callersServer()
	back := s.peersServer()
	for _, f := range s.loops() {
		g.Go(func() error { f(run); return nil })
	}
	g.Go(func() error { return served("callers", front.Serve(callers)) })
	g.Go(func() error { return served("entry VMs", back.Serve(peers)) })
	if s.Started != nil {
		s.Started(callers.Addr().String(), s.peersAddress)
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-run.Done():
		}
		if errors.Is(context.Cause(ctx), ErrKilled) {
			stop()
			return errors.Join(front.Close(), back.Close())
		}
		err := s.shutDown(context.WithoutCancel(ctx), front, callers)
		stop()
		return errors.Join(err, back.Close())
	})
	return g.Wait()
}

// loops returns the goroutines of the daemon, listeners left out.
func (s *Server) loops() []func(context.Context) {
	return []func(context.Context){
		s.adopt,
		s.beat,
		s.control,
		s.followClaims,
		s.followConfig,
		s.followControl,
		s.followList,
		s.keepSnapshot,
		s.renewer.run,
		func(c context.Context) { _ = s.claimer.Run(c) },
		func(c context.Context) { _ = s.claimsAppender.Run(c) },
		func(c context.Context) { _ = s.configAppender.Run(c) },
		func(c context.Context) { _ = s.controlAppender.Run(c) },
	}
}

func served(whom string, err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", whom, err)
}

// post sends a message to the control goroutine, unless the daemon ends.
func (s *Server) post(m message) {
	select {
	case s.inbox <- m:
	case <-s.done:
	}
}

func (s *Server) controlState() reducer.State { return s.view.Load().control }

// newControl returns a control state that knows nothing yet.
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
