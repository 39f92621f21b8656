package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// idPattern matches a submission id.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func (r *Responder) submit(w http.ResponseWriter, q *http.Request, o decoder.Organisation) *refuser.ProblemError {
	var b JobRequest
	d := json.NewDecoder(q.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return bodyProblem(err, "bad-job")
	}
	now := r.Now()
	j, err := newJob(r.Config(), o, b)
	if err != nil {
		return refuser.NewNotRun(http.StatusBadRequest, "bad-job", err.Error())
	}
	c := r.Control()
	if s, ok := c.Job(j.ID); ok {
		return r.answerDuplicate(w, s, j)
	}
	if err := reducer.Validate(now, c, j); err != nil {
		return refuser.NewNotRun(http.StatusUnprocessableEntity, "job-refused", err.Error())
	}
	if err := r.Append(q.Context(), reducer.JobAccepted{Job: j, Accepted: now}); err != nil {
		return r.appendProblem(err)
	}
	s, ok := r.Control().Job(j.ID)
	if !ok {
		return refuser.NewNotRun(http.StatusServiceUnavailable, "not-read-back",
			"the job was appended but not yet read back; send it again with the same id").WithOutcome(refuser.OutcomeUnknown)
	}
	if s.Job.Organisation != o.Name {
		return refuser.NewNotRun(http.StatusConflict, "id-taken", "another job has this id")
	}
	writeJSON(w, http.StatusCreated, NewJobResponse(s))
	return nil
}

// answerDuplicate answers a submission whose id is already in use.
func (r *Responder) answerDuplicate(w http.ResponseWriter, s reducer.JobStatus, j reducer.Job) *refuser.ProblemError {
	if !s.Job.SameRequest(j) {
		return refuser.NewNotRun(http.StatusConflict, "id-taken", "another job has this id")
	}
	writeJSON(w, http.StatusOK, NewJobResponse(s))
	return nil
}

func (r *Responder) appendProblem(err error) *refuser.ProblemError {
	const retryAfter = 5 * time.Second // outages of the log are rarely shorter
	p := refuser.NewNotRun(http.StatusServiceUnavailable, "log-unavailable", err.Error()).WithRetryAfter(retryAfter)
	if r.Uncertain(err) {
		return p.WithOutcome(refuser.OutcomeUnknown)
	}
	return p
}

func (r *Responder) list(w http.ResponseWriter, q *http.Request, o decoder.Organisation) *refuser.ProblemError {
	b := JobsResponse{Jobs: []JobResponse{}}
	leaderJobs := r.LeaderJobs(q.Context(), nil, false)
	for _, s := range r.Control().Jobs() {
		if o.Operator || s.Job.Organisation == o.Name {
			b.Jobs = append(b.Jobs, detailedResponse(s, leaderJobs))
		}
	}
	writeJSON(w, http.StatusOK, b)
	return nil
}

func (r *Responder) show(w http.ResponseWriter, q *http.Request, o decoder.Organisation) *refuser.ProblemError {
	c := r.Control()
	s, p := visibleJob(c, q.PathValue("id"), o)
	if p != nil {
		return p
	}
	why := q.URL.Query().Has("why")
	b := detailedResponse(s, r.LeaderJobs(q.Context(), []string{s.Job.ID}, why))
	if why && b.Why == "" {
		b.Why = c.ExplainWait(r.Now(), s.Job.ID)
	}
	writeJSON(w, http.StatusOK, b)
	return nil
}

func (r *Responder) cancel(w http.ResponseWriter, q *http.Request, o decoder.Organisation) *refuser.ProblemError {
	s, p := visibleJob(r.Control(), q.PathValue("id"), o)
	if p != nil {
		return p
	}
	err := r.Append(q.Context(), reducer.JobCancelled{Job: s.Job.ID, Organisation: s.Job.Organisation})
	if err != nil {
		return r.appendProblem(err)
	}
	s, _ = r.Control().Job(s.Job.ID)
	writeJSON(w, http.StatusOK, NewJobResponse(s))
	return nil
}

func (r *Responder) status(w http.ResponseWriter, _ *http.Request, o decoder.Organisation) *refuser.ProblemError {
	b := r.Status()
	if !o.Operator {
		b.Workers = nil
	}
	writeJSON(w, http.StatusOK, b)
	return nil
}

// fullID returns the id of a job including its organisation. Operators may name a
// job of another organisation as ORGANISATION:SUBMISSION.
func fullID(o decoder.Organisation, id string) string {
	if o.Operator && strings.Contains(id, ":") {
		return id
	}
	return o.Name + ":" + id
}

func (r *Responder) metrics(w http.ResponseWriter, q *http.Request, _ decoder.Organisation) *refuser.ProblemError {
	r.Metrics.ServeHTTP(w, q)
	return nil
}

// visibleJob returns a job that o may see. Any other job is reported as not found.
func visibleJob(c reducer.State, id string, o decoder.Organisation) (reducer.JobStatus, *refuser.ProblemError) {
	s, ok := c.Job(fullID(o, id))
	if !ok || (!o.Operator && s.Job.Organisation != o.Name) {
		return s, refuser.NewNotRun(http.StatusNotFound, "no-such-job", fmt.Sprintf("there is no job %q", id))
	}
	return s, nil
}

// newJob builds the job requested by b from the service's defaults.
func newJob(c decoder.Config, o decoder.Organisation, b JobRequest) (reducer.Job, error) {
	if !idPattern.MatchString(b.ID) {
		return reducer.Job{}, fmt.Errorf("id: %q does not match %s", b.ID, idPattern)
	}
	s, ok := findService(c, b.Service)
	if !ok || s.Organisation != o.Name {
		return reducer.Job{}, fmt.Errorf("service: there is no service %q of organisation %q", b.Service, o.Name)
	}
	j := reducer.Job{
		ID: fullID(o, b.ID), Organisation: o.Name, Team: b.Team, Service: b.Service,
		Class: reducer.Class(b.Class), Gang: s.Job.Gang,
		DeclaredRun: s.Job.DeclaredRun, Deadline: b.Deadline,
		Checkpointable: s.Job.Checkpointable, NonIdempotent: s.Job.NonIdempotent,
		Payload: b.Payload,
	}
	applyOverrides(&j, b)
	return j, checkJob(j)
}

func applyOverrides(j *reducer.Job, b JobRequest) {
	if j.Class == "" {
		j.Class = reducer.ClassBatch
	}
	if b.DeclaredRunMS != 0 {
		j.DeclaredRun = time.Duration(b.DeclaredRunMS) * time.Millisecond
	}
	if b.Checkpointable != nil {
		j.Checkpointable = *b.Checkpointable
	}
	if b.NonIdempotent != nil {
		j.NonIdempotent = *b.NonIdempotent
	}
	if b.Adjacency != "" {
		j.Gang.Adjacency = b.Adjacency
	}
	if b.Tasks != 0 {
		j.Gang.Tasks = b.Tasks
	}
	setInt(&j.Gang.PerTask.MilliCores, b.MilliCores)
	setInt(&j.Gang.PerTask.MemoryMB, b.MemoryMB)
	setInt(&j.Gang.PerTask.Accelerators, b.Accelerators)
}

func setInt(to, v *int) {
	if v != nil {
		*to = *v
	}
}

// maxGangTasks is the largest accepted gang, in tasks.
const maxGangTasks = 64

func checkJob(j reducer.Job) error {
	g := j.Gang
	switch {
	case j.Class != reducer.ClassUrgent && j.Class != reducer.ClassBatch:
		return fmt.Errorf("class: %q is neither %q nor %q", j.Class, reducer.ClassUrgent, reducer.ClassBatch)
	case g.Tasks < 1 || g.Tasks > maxGangTasks:
		return fmt.Errorf("tasks: %d is not from 1 to %d", g.Tasks, maxGangTasks)
	case g.PerTask.MilliCores < 0 || g.PerTask.MemoryMB < 0 || g.PerTask.Accelerators < 0:
		return errors.New("milli-cores, memory-mb and accelerators must not be negative")
	case j.DeclaredRun < 0:
		return errors.New("declared-run-ms must not be negative")
	}
	switch g.Adjacency {
	case placer.AdjacencyNone, placer.AdjacencyRack, placer.AdjacencyWorker:
		return nil
	}
	return fmt.Errorf("adjacency: %q is none of %q, %q, %q", g.Adjacency,
		placer.AdjacencyNone, placer.AdjacencyRack, placer.AdjacencyWorker)
}

func findService(c decoder.Config, name string) (decoder.Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return decoder.Service{}, false
}

// detailedResponse returns the leader's response for a job if there is one and the job
// has not ended as far as this VM knows; otherwise this VM's own.
func detailedResponse(s reducer.JobStatus, leaderJobs map[string]JobResponse) JobResponse {
	d, ok := leaderJobs[s.Job.ID]
	if !ok || s.Phase == reducer.PhaseEnded {
		return NewJobResponse(s)
	}
	return d
}

// NewJobResponse returns the response that describes a job.
func NewJobResponse(s reducer.JobStatus) JobResponse {
	return JobResponse{
		ID: s.Job.ID, Organisation: s.Job.Organisation, Service: s.Job.Service,
		Class: string(s.Job.Class), Tasks: s.Job.Gang.Tasks,
		Phase: string(s.Phase), Attempt: s.Attempt,
		Accepted: s.Accepted, Started: s.Started, Ended: s.Ended,
		Outcome: string(s.Outcome), Reason: s.Reason, Workers: s.Workers,
	}
}
