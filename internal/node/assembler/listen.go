package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/recorder"
)

const (
	headerTimeout     = 3 * time.Second  // the platform's own limit for a request's header
	callerIdleTimeout = 15 * time.Second // the platform's own limit for idle connections
	idleTimeout       = 60 * time.Second // of readiness checks and metrics; other VMs keep idle connections without a limit
	// jobBodyFactor is the memory that a submission takes per byte of its body until it is
	// stored: the body, the decoded job, its record, the record in wire format, which grows by
	// doubling, the copy of the HTTP client, and the record as it is read back.
	jobBodyFactor     = 8
	answerLineRate    = 100                     // log lines a second for answers other than 200; a day of high load has fewer
	answerLineBurst   = 1000                    // an outage of the store refuses this many at once
	maxHeadBytes      = 16 << 10                // of requests by other clients, whose heads are a few hundred bytes
	loadBalancerDelay = 2300 * time.Millisecond // the load balancer checks every second and removes a VM after two failed checks
	killMargin        = 700 * time.Millisecond  // before the platform kills the process
	maxStoreOutage    = time.Second             // then callers are better served by a VM that reaches the store
)

// listen opens all listeners and starts their servers. It returns the server for callers.
func (a *Assembler) listen(ctx context.Context, g *errgroup.Group) (*http.Server, error) {
	callerServer := &http.Server{
		Handler:           &platform.CallerHandler{Gatekeeper: a.gatekeeper, LogCall: a.recordAnswer, Now: a.Now},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+platform.PathReady, a.handleReady)
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", a.serveMetrics)
	metrics.Handle("GET /evacuations", &a.evacuated)
	shares := budgeter.Divide(budgeter.Limits{MemoryMB: a.Settings.MemoryMB, Descriptors: a.Settings.Descriptors})
	shares.Callers = shares.Callers.WithBodyFactor(jobBodyFactor)
	for _, v := range []struct {
		name, address string
		server        *http.Server
		share         budgeter.Share
	}{
		{"callers", a.Settings.Callers, callerServer, shares.Callers},
		{"readiness", a.Settings.Readiness, &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}, shares.Readiness},
		{"other VMs", a.Settings.Peers, &http.Server{Handler: a.relayer.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeadBytes}, shares.VMs},
		{"metrics", a.Settings.Metrics, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}, shares.Metrics},
	} {
		if v.address == "" {
			continue
		}
		l, err := a.acceptor(v.name, v.share, v.server == callerServer).Listen(ctx, v.address, v.server)
		if err != nil {
			return nil, err
		}
		g.Go(func() error {
			if err := v.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", v.name, err)
			}
			return nil
		})
		if v.server != callerServer {
			context.AfterFunc(ctx, func() { _ = v.server.Close() }) // no need to drain these requests
		}
	}
	return callerServer, nil
}

// notReadyReason returns why this VM should receive no requests, "" if it is ready.
func (a *Assembler) notReadyReason() string {
	if a.leaving.Load() {
		return "the VM is shutting down"
	}
	if a.config.Load() == nil {
		return "no configuration has been read"
	}
	for _, t := range []string{registrar.TopicJobs, registrar.TopicProgress} {
		if _, ok := a.registrar.NextOffset(t); !ok {
			return t + " topic has not been read"
		}
	}
	if at := a.storeDownSince.Load(); at != 0 && !a.otherPartsWork() && a.Now().Sub(time.UnixMilli(at)) > maxStoreOutage {
		return "the store does not answer"
	}
	return ""
}

func (a *Assembler) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := a.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// recordAnswer records metrics of an answer to a caller and logs it.
func (a *Assembler) recordAnswer(x platform.Exchange) {
	a.metrics.Observe(recorder.Series{Measure: "answer", Organisation: x.Target.Organisation, Class: x.Target.Route.Name}, x.Elapsed)
	a.metrics.Count("answers-"+string(x.Answer.Verdict), 1)
	if x.Method == http.MethodGet && x.Status == http.StatusOK {
		return // successful reads are frequent and change nothing
	}
	if x.Status != http.StatusOK && !a.answerLines.AllowN(a.Now(), 1) {
		a.metrics.Count("answers-not-logged", 1)
		return
	}
	a.log("answer").WithFields(logrus.Fields{
		"job": x.Job, "method": x.Method, "queue": x.Target.Route.Name, "organisation": x.Target.Organisation,
		"version": x.Target.Version, "status": x.Status, "verdict": x.Answer.Verdict, "reason": x.Answer.Reason,
		"took-ms": x.Elapsed.Milliseconds(),
	}).Info("answered request")
}

// drain serves requests until the load balancer has removed this VM, then finishes the
// open ones.
func (a *Assembler) drain(ctx context.Context, callerServer *http.Server) {
	time.Sleep(loadBalancerDelay)
	ctx, cancel := context.WithTimeout(ctx, a.Settings.Grace-loadBalancerDelay-killMargin)
	defer cancel()
	callerServer.SetKeepAlivesEnabled(false)
	if err := callerServer.Shutdown(ctx); err != nil {
		a.log("stop").WithError(err).Warn("shutdown timed out; closing open requests")
		_ = callerServer.Close() // the remaining requests can't be finished in time
	}
}
