package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
	"github.com/lacewingdoor/lacewingdoor/claimer"
	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/forwarder"
	"github.com/lacewingdoor/lacewingdoor/internal/responder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/recorder"
	"github.com/lacewingdoor/lacewingdoor/router"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// Limits on connections of callers, workers and other entry VMs.
const (
	readHeaderTimeout     = 5 * time.Second // bounds what a slow caller costs to the reading of a header
	readTimeout           = 60 * time.Second
	idleTimeout           = 60 * time.Second
	callerPingInterval    = 15 * time.Second       // silence after which a caller's connection is probed
	maxIdleWorkerConns    = 2                      // idle connections kept per worker
	workerResponseTimeout = 3 * time.Second        // until the response header
	handshakeWait         = 250 * time.Millisecond // many round trips of 3 ms, so that handshakes that have begun complete
)

// prepareRouting builds the components that handle requests.
func (s *Server) prepareRouting() {
	s.sender = &forwarder.Sender{}
	s.runTimes = newRunTimeEstimator()
	s.claimer = &claimer.Claimer{VM: s.Settings.VM, Append: s.appendClaims, Now: s.Now}
	s.router = &router.Router{
		Snapshot:  func() *router.Snapshot { return s.view.Load().routing },
		Send:      s.sender.Send,
		Claim:     s.claim,
		Release:   s.release,
		Leaving:   s.reportExecutorLeaving,
		Estimate:  s.runTimes.estimate,
		Observe:   s.observeRequest,
		Now:       s.Now,
		KeyWindow: claimer.DefaultWindow,
	}
}

// reportExecutorLeaving tells the control goroutine that an executor is leaving. It
// does not wait: if the message is dropped, the executor's next response says so
// again.
func (s *Server) reportExecutorLeaving(executor string) {
	select {
	case s.inbox <- executorLeavingMessage{executor}:
	default:
	}
}

func (s *Server) observeRequest(o router.Observation) {
	s.runTimes.observe(o)
	series := func(m string) recorder.Series {
		return recorder.Series{Measure: m, Organisation: o.Organisation, Class: o.Class}
	}
	if o.Code != "" {
		s.recorder.Count("refused-"+string(o.Code), 1)
		return
	}
	s.recorder.Observe(series("wait"), o.Wait)
	s.recorder.Observe(series("run"), o.Run)
	s.recorder.Observe(series("answer"), o.Wait+o.Run)
	s.recorder.Count("answers", 1)
	s.recorder.Count("retries", int64(o.Attempts-1))
}

// workerClient returns an HTTP client for calls to workers.
func workerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost:   maxIdleWorkerConns,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: workerResponseTimeout,
	}}
}

func (s *Server) callersServer() *http.Server {
	m := http.NewServeMux()
	r := s.responder().Handler()
	m.Handle("/-/", r)
	m.Handle(responder.PathMetrics, r)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", s.readyz)
	m.Handle("/", &forwarder.Forwarder{
		Router:       s.router,
		Organisation: s.callerOrganisation,
		MaxRequests:  s.Settings.MaxRequests,
		Now:          s.Now,
	})
	return &http.Server{
		Handler:           s.closeWhenLeaving(m),
		ConnState:         s.connections.stateChanged,
		Protocols:         protocols(),
		HTTP2:             http2Config(http.HTTP2Config{SendPingTimeout: callerPingInterval}),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Settings.MaxHeaderBytes,
	}
}

func (s *Server) peersServer() *http.Server {
	return &http.Server{
		Handler:           s.peerHandler(),
		Protocols:         protocols(),
		HTTP2:             http2Config(http.HTTP2Config{SendPingTimeout: peerPingInterval, PingTimeout: peerPingTimeout}),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxPeerHeaderBytes,
	}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// readyz tells the platform's load balancer whether to send callers to this VM.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	reason := s.view.Load().notReady()
	if s.leaving.Load() {
		reason = "the VM is shutting down"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// callerOrganisation authenticates a caller of a service and returns its
// organisation.
func (s *Server) callerOrganisation(q *http.Request) (string, error) {
	o, err := authenticator.Authenticate(s.view.Load().config.Config(), q.Header.Get("Authorization"))
	return o.Name, err
}

// authenticate authenticates a caller of the jobs, status or configuration
// endpoints.
func (s *Server) authenticate(q *http.Request) (decoder.Organisation, error) {
	c := s.view.Load().config.Config()
	if s.Settings.OperatorHash != "" {
		c = withOperator(c, s.Settings.OperatorHash)
	}
	return authenticator.Authenticate(c, q.Header.Get("Authorization"))
}

// withOperator adds the operator from the settings, who can publish the first
// configuration.
func withOperator(c decoder.Config, hash string) decoder.Config {
	o := decoder.Organisation{Name: "operator", KeyHashes: []string{hash}, Operator: true}
	c.Organisations = append(c.Organisations[:len(c.Organisations):len(c.Organisations)], o)
	return c
}

func (s *Server) responder() *responder.Responder {
	return &responder.Responder{
		Authenticate:    s.authenticate,
		Append:          s.appendControlAndWait,
		AppendConfig:    s.appendConfigAndWait,
		Uncertain:       maybeAppended,
		Config:          func() decoder.Config { return s.view.Load().config.Config() },
		Control:         s.controlState,
		Configuration:   s.configuration,
		LeaderJobs:      s.jobsFromLeader,
		Metrics:         http.HandlerFunc(s.serveMetrics),
		Now:             s.Now,
		CheckGuarantees: s.checkGuarantees,
		Status:          s.status,
	}
}

// status returns the status of this VM.
func (s *Server) status() responder.StatusResponse {
	v := s.view.Load()
	reason := v.notReady()
	leader, _ := v.leader(s.Now())
	a := responder.StatusResponse{
		VM: s.Settings.VM, Zone: s.Settings.Zone,
		Ready: reason == "", NotReady: reason,
		Leading: v.control.Leading(), Leader: leader, Epoch: v.control.Epoch().String(),
		LogUp: v.logUp, ConfigRevision: v.config.Revision(), ControlOffset: v.controlOffset,
		Live: v.members.Live(s.Now(), s.leaving.Load()),
	}
	for _, i := range v.control.Workers() {
		w := responder.WorkerResponse{ID: i.Worker, Rack: i.Rack, Zone: i.Zone, Capacity: i.Capacity}
		var held placer.Resources
		for _, l := range i.Leases {
			if !l.State.Ended() {
				held = held.Plus(l.Resources)
				w.Leases++
			}
		}
		w.Held = held
		a.Workers = append(a.Workers, w)
	}
	return a
}

// shutDown drains the VM. It announces to the other entry VMs that it is leaving and
// keeps serving while the load balancer and the callers move to other VMs. Then it
// refuses new connections, finishes all requests and closes the remaining
// connections.
func (s *Server) shutDown(ctx context.Context, callerHTTP *http.Server, callers net.Listener) error {
	s.leaving.Store(true)
	s.log("shut-down").Info("shutting down: finishing requests in flight")
	c, cancel := context.WithTimeout(ctx, s.Settings.DrainDelay+s.Settings.DrainTimeout)
	defer cancel()
	s.announceLeaving(c)
	_ = sleeper.Sleep(c, s.Settings.DrainDelay)
	if err := refuseNewConnections(callers); err != nil {
		s.log("shut-down").WithError(err).Warn("cannot refuse new connections; connections being established may be reset")
	}
	_ = sleeper.Sleep(c, handshakeWait)
	err := errors.Join(callers.Close(), s.router.Drain(c))
	s.connections.awaitIdle(c)
	err = errors.Join(err, callerHTTP.Shutdown(c))
	if err != nil {
		return fmt.Errorf("shut down within %v: %w", s.Settings.DrainTimeout, err)
	}
	s.sender.Close()
	s.log("shut-down").Info("shutdown complete: no requests in flight")
	return nil
}

// announceLeaving sends a last heartbeat to every known entry VM.
func (s *Server) announceLeaving(ctx context.Context) {
	for _, m := range s.view.Load().members.Members() {
		s.exchangeHeartbeat(ctx, m.Address)
	}
}
