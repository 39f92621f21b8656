// Package responder answers what operators and organisations ask of an entry VM
// besides requests: jobs, status and configuration.
package responder

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// JobRequest is the body of POST /-/jobs. What it leaves out is taken from the
// service's defaults. The organisation is that of the key.
type JobRequest struct {
	ID             string           `json:"id"` // submission id; the same id twice is one job
	Service        string           `json:"service"`
	Team           string           `json:"team,omitempty"`
	Class          string           `json:"class,omitempty"` // "urgent" or "batch"
	Tasks          int              `json:"tasks,omitempty"`
	MilliCores     *int             `json:"milli-cores,omitempty"`
	MemoryMB       *int             `json:"memory-mb,omitempty"`
	Accelerators   *int             `json:"accelerators,omitempty"`
	Adjacency      placer.Adjacency `json:"adjacency,omitempty"`
	DeclaredRunMS  int64            `json:"declared-run-ms,omitempty"`
	Deadline       time.Time        `json:"deadline,omitzero"`
	Checkpointable *bool            `json:"checkpointable,omitempty"`
	NonIdempotent  *bool            `json:"non-idempotent,omitempty"`
	Payload        string           `json:"payload,omitempty"`
}

// JobResponse is what is told of one job.
type JobResponse struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Service      string    `json:"service"`
	Class        string    `json:"class"`
	Tasks        int       `json:"tasks"`
	Phase        string    `json:"phase"`
	Attempt      int       `json:"attempt"`
	Accepted     time.Time `json:"accepted"`
	Started      time.Time `json:"started,omitzero"`
	Ended        time.Time `json:"ended,omitzero"`
	Outcome      string    `json:"outcome,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	Workers      []string  `json:"workers,omitempty"`
	Why          string    `json:"why,omitempty"` // why it waits, when asked for
}

// JobsResponse answers GET /-/jobs.
type JobsResponse struct {
	Jobs []JobResponse `json:"jobs"`
}

// StatusResponse answers GET /-/status.
type StatusResponse struct {
	VM             string           `json:"vm"`
	Zone           string           `json:"zone"`
	Ready          bool             `json:"ready"`
	NotReady       string           `json:"not-ready,omitempty"` // why
	Leading        bool             `json:"leading"`
	Leader         string           `json:"leader"`
	Epoch          string           `json:"epoch"`
	LogUp          bool             `json:"log-up"`
	ConfigRevision int64            `json:"config-revision"`
	ControlOffset  int64            `json:"control-offset"`
	Live           []string         `json:"live"`
	Workers        []WorkerResponse `json:"workers"`
}

// WorkerResponse is what is told of one worker.
type WorkerResponse struct {
	ID       string           `json:"id"`
	Rack     string           `json:"rack"`
	Zone     string           `json:"zone"`
	Capacity placer.Resources `json:"capacity"`
	Held     placer.Resources `json:"held"`
	Leases   int              `json:"leases"`
}
