package cmd

import (
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// SubmitCmd submits a job.
type SubmitCmd struct {
	Client         `embed:""`
	Service        string        `arg:"" help:"Service whose job it is."`
	ID             string        `help:"Submission id; the same id twice is one job. A random one when left out."`
	Team           string        `help:"Team whose quota counts."`
	Class          string        `default:"batch" enum:"batch,urgent" help:"Class: batch or urgent."`
	Tasks          int           `help:"Number of tasks in the gang."`
	MilliCores     *int          `help:"Thousandths of a processor core for each task."`
	MemoryMB       *int          `help:"Mebibytes of memory for each task."`
	Accelerators   *int          `help:"Accelerators for each task."`
	Adjacency      string        `help:"Closeness of the tasks: none, rack or worker."`
	DeclaredRun    time.Duration `help:"Expected run time; only a first guess."`
	Deadline       time.Time     `help:"Time by which it is to be done, as 2026-01-05T06:00:00Z; orders it among jobs of its class."`
	Checkpointable *bool         `help:"The tasks can be checkpointed."                                           negatable:""`
	NonIdempotent  *bool         `help:"The job must run at most once."                                           negatable:""`
	Payload        string        `help:"What the workers are told; opaque to lacewingdoor."`
}

// Run submits the job and prints its status once accepted.
func (s *SubmitCmd) Run(c *Config) error {
	id := s.ID
	if id == "" {
		id = uuid.NewString()
	}
	q := responder.JobRequest{
		ID: id, Service: s.Service, Team: s.Team, Class: s.Class,
		Tasks: s.Tasks, MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators,
		Adjacency: placer.Adjacency(s.Adjacency), DeclaredRunMS: s.DeclaredRun.Milliseconds(),
		Deadline:       s.Deadline,
		Checkpointable: s.Checkpointable, NonIdempotent: s.NonIdempotent, Payload: s.Payload,
	}
	var a responder.JobResponse
	if err := s.call(http.MethodPost, "/-/jobs", q, &a); err != nil {
		return err
	}
	return s.print(c.stdout, a, func(w io.Writer) { writeJobs(w, []responder.JobResponse{a}) })
}
