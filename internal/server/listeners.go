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

// The limits on connections of callers and other entry VMs.
const (
	readHeaderTimeout = 5 * time.Second // a slower caller is dropped before it costs more than a header
	readTimeout       = 60 * time.Second
	idleTimeout       = 60 * time.Second
	callerPing        = 15 * time.Second       // silence after which a connection of a caller is probed
	workerConns       = 2                      // idle connections kept to one worker
	responseTimeout   = 3 * time.Second        // of a worker
	handshakeTime     = 250 * time.Millisecond // many round trips of 3 ms, so that handshakes end
)

// prepareTraffic builds the path of requests.
func (s *Server) prepareTraffic() {
	s.sender = &forwarder.Sender{}
	s.learner = newLearner()
	s.claimer = &claimer.Claimer{VM: s.Settings.VM, Append: s.appendClaims, Now: s.Now}
	s.router = &router.Router{
		Snapshot:  func() *router.Snapshot { return s.view.Load().traffic },
		Send:      s.sender.Send,
		Claim:     s.claim,
		Release:   s.release,
		Leaving:   s.sawLeaving,
		Estimate:  s.learner.estimate,
		Observe:   s.observeRequest,
		Now:       s.Now,
		KeyWindow: claimer.DefaultWindow,
	}
}

// sawLeaving tells control of an executor that says it leaves. Traffic does not
// wait for control: if the message is lost, the executor's next answer says it.
func (s *Server) sawLeaving(executor string) {
	select {
	case s.inbox <- executorLeavingMessage{executor}:
	default:
	}
}

func (s *Server) observeRequest(o router.Observation) {
	s.learner.observe(o)
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

// workerClient returns a client for calls to workers.
func workerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost:   workerConns,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: responseTimeout,
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
		Organisation: s.organisation,
		MaxRequests:  s.Settings.MaxRequests,
		Now:          s.Now,
	})
	return &http.Server{
		Handler:           s.sendAway(m),
		ConnState:         s.connections.changed,
		Protocols:         protocols(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: callerPing},
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
		HTTP2:             &http.HTTP2Config{SendPingTimeout: peerPing, PingTimeout: peerPingWait},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// readyz tells the platform's balancer whether to send callers here.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	why := s.view.Load().notReady()
	if s.leaving.Load() {
		why = "the VM is shutting down"
	}
	if why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// organisation authenticates a caller of a service.
func (s *Server) organisation(q *http.Request) (string, error) {
	o, err := authenticator.Authenticate(s.view.Load().config.Config(), q.Header.Get("Authorization"))
	return o.Name, err
}

// authenticate authenticates a caller of jobs, status or configuration.
func (s *Server) authenticate(q *http.Request) (decoder.Organisation, error) {
	c := s.view.Load().config.Config()
	if s.Settings.OperatorHash != "" {
		c = withOperator(c, s.Settings.OperatorHash)
	}
	return authenticator.Authenticate(c, q.Header.Get("Authorization"))
}

// withOperator adds the operator of the settings, who can publish the first
// configuration.
func withOperator(c decoder.Config, hash string) decoder.Config {
	o := decoder.Organisation{Name: "operator", KeyHashes: []string{hash}, Operator: true}
	c.Organisations = append(c.Organisations[:len(c.Organisations):len(c.Organisations)], o)
	return c
}

func (s *Server) responder() *responder.Responder {
	return &responder.Responder{
		Authenticate:  s.authenticate,
		Append:        s.acceptRecord,
		AppendConfig:  s.acceptConfig,
		Uncertain:     maybeAppended,
		Config:        func() decoder.Config { return s.view.Load().config.Config() },
		Control:       s.controlState,
		Configuration: s.configuration,
		Detail:        s.detail,
		Metrics:       s.recorder,
		Now:           s.Now,
		Promised:      s.promised,
		Status:        s.status,
	}
}

// status returns what this VM says of itself.
func (s *Server) status() responder.StatusResponse {
	v := s.view.Load()
	why := v.notReady()
	leader, _ := v.leader(s.Now())
	a := responder.StatusResponse{
		VM: s.Settings.VM, Zone: s.Settings.Zone,
		Ready: why == "", NotReady: why,
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

// shutDown finishes what is in flight. The VM tells all that it leaves, and goes
// on serving while the balancer and the callers turn to other VMs. Then it takes
// no more connections, finishes every request, and closes those that are left.
func (s *Server) shutDown(ctx context.Context, front *http.Server, callers net.Listener) error {
	s.leaving.Store(true)
	s.log("shut-down").Info("leaving: finishing what is in flight")
	c, cancel := context.WithTimeout(ctx, s.Settings.DrainDelay+s.Settings.DrainTimeout)
	defer cancel()
	s.tellLeaving(c)
	_ = sleeper.Sleep(c, s.Settings.DrainDelay)
	if err := refuseNew(callers); err != nil {
		s.log("shut-down").WithError(err).Warn("connections that are being made may be reset")
	}
	_ = sleeper.Sleep(c, handshakeTime)
	err := errors.Join(callers.Close(), s.router.Drain(c))
	s.connections.awaitQuiet(c)
	err = errors.Join(err, front.Shutdown(c))
	if err != nil {
		return fmt.Errorf("shut down within %v: %w", s.Settings.DrainTimeout, err)
	}
	s.sender.Close()
	s.log("shut-down").Info("nothing is in flight any more")
	return nil
}

// tellLeaving sends a last heartbeat to every live entry VM.
func (s *Server) tellLeaving(ctx context.Context) {
	for _, m := range s.view.Load().members.Members() {
		s.beatOne(ctx, m.Address)
	}
}
