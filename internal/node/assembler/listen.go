package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/recorder"
)

const (
	headerTimeout = 3 * time.Second         // the platform's own limit for a request's header
	callerIdle    = 15 * time.Second        // the platform's own limit for idle connections
	balancerDelay = 2300 * time.Millisecond // the balancer asks every second and turns away after two misses
	closeMargin   = 700 * time.Millisecond  // before the platform kills the process
	storeGone     = time.Second             // without the store, another VM serves callers better
)

// listen opens all listeners and serves on them. It returns the server for
// callers.
func (a *Assembler) listen(ctx context.Context, g *errgroup.Group) (*http.Server, error) {
	front := &http.Server{
		Handler:           &platform.Front{Gate: a.gate, Done: a.answered, Now: a.Now},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, a.ready)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", a.metrics)
	for _, v := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", a.Settings.Callers, front},
		{"readiness", a.Settings.Readiness, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{"other VMs", a.Settings.Peers, &http.Server{Handler: a.relayer.Handler(), ReadHeaderTimeout: headerTimeout}},
		{"metrics", a.Settings.Metrics, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}},
	} {
		if v.address == "" {
			continue
		}
		var c net.ListenConfig
		c.SetMultipathTCP(false)
		l, err := c.Listen(ctx, "tcp", v.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s at %s: %w", v.name, v.address, err)
		}
		g.Go(func() error {
			if err := v.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", v.name, err)
			}
			return nil
		})
		if v.server != front {
			context.AfterFunc(ctx, func() { _ = v.server.Close() }) // nobody waits for these answers
		}
	}
	return front, nil
}

// notReady says why this VM should get no callers, "" when it should.
func (a *Assembler) notReady() string {
	if a.leaving.Load() {
		return "the VM leaves"
	}
	if a.config.Load() == nil {
		return "no configuration is known"
	}
	for _, t := range []string{registrar.TopicJobs, registrar.TopicProgress} {
		if _, ok := a.registrar.Next(t); !ok {
			return t + " was not read yet"
		}
	}
	if at := a.storeDown.Load(); at != 0 && a.Now().Sub(time.UnixMilli(at)) > storeGone {
		return "the store does not answer"
	}
	return ""
}

func (a *Assembler) ready(w http.ResponseWriter, _ *http.Request) {
	if why := a.notReady(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// answered logs an answer to a caller.
func (a *Assembler) answered(x platform.Exchange) {
	a.metrics.Observe(recorder.Series{Measure: "answer", Organisation: x.Target.Organisation, Class: x.Target.Route.Name}, x.Elapsed)
	a.metrics.Count("answers-"+string(x.Answer.Verdict), 1)
	if x.Method == http.MethodGet && x.Status == http.StatusOK {
		return // states are asked for all the time and change nothing
	}
	a.log("answer").WithFields(logrus.Fields{
		"job": x.Job, "method": x.Method, "queue": x.Target.Route.Name, "organisation": x.Target.Organisation,
		"version": x.Target.Version, "status": x.Status, "verdict": x.Answer.Verdict, "reason": x.Answer.Reason,
		"took-ms": x.Elapsed.Milliseconds(),
	}).Info("caller is answered")
}

// drain goes on serving while the balancer turns away, then finishes what is
// open.
func (a *Assembler) drain(ctx context.Context, front *http.Server) {
	time.Sleep(balancerDelay)
	ctx, cancel := context.WithTimeout(ctx, a.Settings.Grace-balancerDelay-closeMargin)
	defer cancel()
	front.SetKeepAlivesEnabled(false)
	if err := front.Shutdown(ctx); err != nil {
		a.log("stop").WithError(err).Warn("requests are still open")
		_ = front.Close() // what is open can't be finished any more
	}
}
