package responder

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// maxBody is the longest body of a call, in bytes.
const maxBody = 4 << 20 // a change may hold the whole configuration, as JSON

// Responder answers operators' calls. Its fields are set before it serves.
type Responder struct {
	// Authenticate returns the organisation of the caller.
	Authenticate func(*http.Request) (decoder.Organisation, error)
	// Append appends a record to the control stream and waits until it is read back.
	Append func(context.Context, reducer.Record) error
	// Uncertain reports whether an error of Append leaves open if it took effect.
	Uncertain func(error) bool
	// Config returns the configuration in force.
	Config func() decoder.Config
	// Control returns the control state.
	Control func() reducer.State
	// Metrics answers with counters and histograms, which name organisations.
	Metrics http.Handler
	// Now returns the present time.
	Now func() time.Time
	// AppendConfig appends a record to the configuration stream, waits until it is
	// read back, and returns its offset.
	AppendConfig func(ctx context.Context, id string, r publisher.Record) (int64, error)
	// Promised reports why workers could not hold the guarantees of a change. A
	// reason to force the change is logged instead.
	Promised func(ctx context.Context, c publisher.Change, force string) error
	// Detail returns what the leader knows of jobs, by full id; all jobs when ids
	// is empty. It is nil when this VM leads or the leader can't be asked.
	Detail func(ctx context.Context, ids []string, why bool) map[string]JobResponse
	// Configuration returns the configuration in force, here and elsewhere.
	Configuration func() publisher.ConfigurationResponse
	// Status returns what this VM says of itself.
	Status func() StatusResponse
}

// PathMetrics is where operators read metrics, as expvar has it.
const PathMetrics = "/debug/vars"

// Handler returns the routes of all calls: those below /-/, and PathMetrics.
func (r *Responder) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/jobs", r.as(r.submit))
	m.HandleFunc("GET /-/jobs", r.as(r.list))
	m.HandleFunc("GET /-/jobs/{id}", r.as(r.show))
	m.HandleFunc("DELETE /-/jobs/{id}", r.as(r.cancel))
	m.HandleFunc("GET /-/status", r.as(r.status))
	m.HandleFunc("GET "+PathMetrics, r.asOperator(r.metrics))
	m.HandleFunc("GET "+publisher.PathConfiguration, r.asOperator(r.configuration))
	m.HandleFunc("POST "+publisher.PathChanges, r.asOperator(r.change))
	m.HandleFunc("DELETE "+publisher.PathChanges+"/{id}", r.asOperator(r.withdraw))
	return m
}

type organisationHandler func(http.ResponseWriter, *http.Request, decoder.Organisation) *refuser.ProblemError

// as runs h for the organisation of the caller, and writes its refusal.
func (r *Responder) as(h organisationHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		o, err := r.Authenticate(q)
		if err != nil {
			refuser.Write(w, refuser.New(http.StatusUnauthorized, "bad-key", err.Error()))
			return
		}
		q.Body = http.MaxBytesReader(w, q.Body, maxBody)
		if p := h(w, q, o); p != nil {
			refuser.Write(w, p)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller went away
}
