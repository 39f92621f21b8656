// Package responder serves the API of an entry VM for organisations and operators:
// jobs, status, configuration and metrics.
package responder

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// JobRequest is the body of POST /-/jobs. Omitted fields default to those of the
// service. The organisation is that of the caller's key.
type JobRequest struct {
	ID             string           `json:"id"` // submission id; submitting it twice creates one job
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

// JobResponse describes one job.
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
	Why          string    `json:"why,omitempty"` // why the job waits, on request
}

// JobsResponse is the response to GET /-/jobs.
type JobsResponse struct {
	Jobs []JobResponse `json:"jobs"`
}

// StatusResponse is the response to GET /-/status.
type StatusResponse struct {
	VM             string           `json:"vm"`
	Zone           string           `json:"zone"`
	Ready          bool             `json:"ready"`
	NotReady       string           `json:"not-ready,omitempty"` // reason
	Leading        bool             `json:"leading"`
	Leader         string           `json:"leader"`
	Epoch          string           `json:"epoch"`
	LogUp          bool             `json:"log-up"`
	ConfigRevision int64            `json:"config-revision"`
	ControlOffset  int64            `json:"control-offset"`
	Live           []string         `json:"live"`
	Workers        []WorkerResponse `json:"workers"`
}

// WorkerResponse describes one worker.
type WorkerResponse struct {
	ID       string           `json:"id"`
	Rack     string           `json:"rack"`
	Zone     string           `json:"zone"`
	Capacity placer.Resources `json:"capacity"`
	Held     placer.Resources `json:"held"`
	Leases   int              `json:"leases"`
}
