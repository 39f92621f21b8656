package responder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// maxBodyBytes is the greatest length of a request body.
const maxBodyBytes = 4 << 20 // a change may contain the whole configuration as JSON

// Responder serves the API for organisations and operators. Set its fields before
// it serves.
type Responder struct {
	// Authenticate returns the organisation of the caller.
	Authenticate func(*http.Request) (decoder.Organisation, error)
	// Append appends a record to the control stream and waits until it is read
	// back.
	Append func(context.Context, reducer.Record) error
	// Uncertain reports whether Append may have taken effect despite its error.
	Uncertain func(error) bool
	// Config returns the configuration in force.
	Config func() decoder.Config
	// Control returns the control state.
	Control func() reducer.State
	// Metrics serves counters and histograms, which contain names of organisations.
	Metrics http.Handler
	// Now returns the current time.
	Now func() time.Time
	// AppendConfig appends a record to the configuration stream, waits until it is
	// read back and returns its offset.
	AppendConfig func(ctx context.Context, id string, r publisher.Record) (int64, error)
	// CheckGuarantees returns an error if the workers lack capacity for the
	// guarantees of a change. If force gives a reason to override this, it is logged
	// instead.
	CheckGuarantees func(ctx context.Context, c publisher.Change, force string) error
	// LeaderJobs returns the leader's responses for jobs by full id, for all jobs
	// when ids is empty. It returns nil when this VM leads or the leader is
	// unreachable.
	LeaderJobs func(ctx context.Context, ids []string, why bool) map[string]JobResponse
	// Configuration returns the configuration in force on this and other VMs.
	Configuration func() publisher.ConfigurationResponse
	// Status returns the status of this VM.
	Status func() StatusResponse
}

// PathMetrics is the path of the metrics, the same as that of expvar.
const PathMetrics = "/debug/vars"

// Handler routes all calls: those below /-/ and PathMetrics.
func (r *Responder) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/jobs", r.withOrganisation(r.submit))
	m.HandleFunc("GET /-/jobs", r.withOrganisation(r.list))
	m.HandleFunc("GET /-/jobs/{id}", r.withOrganisation(r.show))
	m.HandleFunc("DELETE /-/jobs/{id}", r.withOrganisation(r.cancel))
	m.HandleFunc("GET /-/status", r.withOrganisation(r.status))
	m.HandleFunc("GET "+PathMetrics, r.withOperator(r.metrics))
	m.HandleFunc("GET "+publisher.PathConfiguration, r.withOperator(r.configuration))
	m.HandleFunc("POST "+publisher.PathChanges, r.withOperator(r.submitChange))
	m.HandleFunc("DELETE "+publisher.PathChanges+"/{id}", r.withOperator(r.withdrawChange))
	return m
}

type organisationHandler func(http.ResponseWriter, *http.Request, decoder.Organisation) *refuser.ProblemError

// withOrganisation authenticates the caller, calls h with its organisation and writes
// the problem that h returns, if any.
func (r *Responder) withOrganisation(h organisationHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		o, err := r.Authenticate(q)
		if err != nil {
			refuser.Write(w, refuser.NewNotRun(http.StatusUnauthorized, "bad-key", err.Error()))
			return
		}
		q.Body = http.MaxBytesReader(w, q.Body, maxBodyBytes)
		if p := h(w, q, o); p != nil {
			refuser.Write(w, p)
		}
	}
}

// bodyProblem returns the problem of a body that can't be decoded.
func bodyProblem(err error, code string) *refuser.ProblemError {
	if errors.Is(err, budgeter.ErrNoRoom) {
		return refuser.NewNotRun(http.StatusServiceUnavailable, "too-many-requests", err.Error()).WithRetryAfter(time.Second)
	}
	return refuser.NewNotRun(http.StatusBadRequest, code, err.Error())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
