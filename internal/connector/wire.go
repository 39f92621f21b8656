// Package connector implements the protocols of the platform, the workers and the
// executors. Support for another platform needs another connector.
package connector

import (
	"encoding/json"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// AppendRequest is the body of POST /streams/STREAM/records.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendResponse returns the position of the records, which have consecutive offsets.
type AppendResponse struct {
	Offset int64 `json:"offset"` // of the first record; offsets start at 1
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset     int64           `json:"offset"`
	AppendedMS int64           `json:"appended-ms"` // Unix time in milliseconds, by the clock of the log
	Data       json.RawMessage `json:"data"`
}

// ReadResponse is the response to GET /streams/STREAM/records?from=N&limit=N&wait-ms=N.
type ReadResponse struct {
	First   int64       `json:"first"` // lowest retained offset
	Next    int64       `json:"next"`  // offset of the next record to be appended
	Records []LogRecord `json:"records"`
}

// Role is the role of a VM in the platform's list.
type Role string

// The roles in the platform's list.
const (
	RoleEntry    Role = "entry"
	RoleExecutor Role = "executor"
	RoleWorker   Role = "worker"
)

// ListedVM is one row of the platform's list of VMs.
type ListedVM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Service string `json:"service"` // executors only
	Address string `json:"address"` // HOST:PORT, with an IP address as HOST
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Slots   int    `json:"slots"` // executors only
	Leaving bool   `json:"leaving"`
}

// ListResponse is the response to GET /vms. It may be stale.
type ListResponse struct {
	VMs []ListedVM `json:"vms"`
}

// FenceRequest is the body of POST /fence on a worker. The response is an Inventory.
type FenceRequest struct {
	Epoch leaser.Epoch `json:"epoch"`
	VM    string       `json:"vm"` // holder of the epoch; two VMs may take the same sub-term
}

// CommandRequest is the body of POST /prepare, /start, /checkpoint, /throttle
// and /stop on a worker.
type CommandRequest struct {
	Epoch leaser.Epoch `json:"epoch"`
	VM    string       `json:"vm"` // holder of the epoch
	Lease leaser.Lease `json:"lease"`
}

// CommandResponse is the response to a command, with status 200 if it was executed, 409
// if its epoch is fenced and 422 if it was refused.
type CommandResponse struct {
	Epoch  leaser.Epoch `json:"epoch"` // highest epoch that the worker has seen
	Reason string       `json:"reason"`
}

// RenewRequest is the body of POST /renew on a worker. The response is an Inventory. It
// needs no epoch because it makes no scheduling decision.
type RenewRequest struct {
	TTLMS        int64       `json:"ttl-ms"`
	Renew        []leaser.ID `json:"renew,omitempty"`
	Acknowledged []leaser.ID `json:"acknowledged,omitempty"` // ended leases that the worker may omit from now on
	Known        string      `json:"known,omitempty"`        // mark of the inventory that the caller has; while it is current, the response is a short inventory
	RenewKnown   bool        `json:"renew-known,omitempty"`  // renew all running leases if the mark is current
}

// The headers between an entry VM and an executor.
const (
	HeaderRequestID      = "Lacewingdoor-Request-Id"   // echoed by the executor
	HeaderOutcome        = "Lacewingdoor-Outcome"      // "not-run" on the refusal of a request that did not run
	HeaderState          = "Lacewingdoor-State"        // "leaving" on every response of an executor that is leaving
	HeaderDigest         = "Content-Digest"            // RFC 9530, sha-256
	HeaderIdempotencyKey = "Idempotency-Key"           // set by callers: MINT-UNIX-SECONDS "-" RANDOM
	HeaderDeadlineMS     = "Lacewingdoor-Deadline-Ms"  // milliseconds until the deadline
	HeaderOrganisation   = "Lacewingdoor-Organisation" // organisation of the caller
)
