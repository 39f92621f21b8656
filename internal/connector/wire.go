// Package connector speaks the protocols of the platform, the workers and the
// executors. Another platform is met by writing another connector.
package connector

import (
	"encoding/json"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// AppendRequest is the body of POST /streams/STREAM/records.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendResponse tells where the records went; they are adjacent.
type AppendResponse struct {
	Offset int64 `json:"offset"` // of the first one; offsets start at 1
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset     int64           `json:"offset"`
	AppendedMS int64           `json:"appended-ms"` // Unix milliseconds by the clock of the log
	Data       json.RawMessage `json:"data"`
}

// ReadResponse answers GET /streams/STREAM/records?from=N&limit=N&wait-ms=N.
type ReadResponse struct {
	First   int64       `json:"first"` // lowest offset that is still kept
	Next    int64       `json:"next"`  // offset that the next record will get
	Records []LogRecord `json:"records"`
}

// Role is what a listed VM is for.
type Role string

// The roles in the platform's list.
const (
	RoleEntry    Role = "entry"
	RoleExecutor Role = "executor"
	RoleWorker   Role = "worker"
)

// ListedVM is one row of the platform's list.
type ListedVM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Service string `json:"service"` // of an executor
	Address string `json:"address"` // HOST:PORT, host an IP number
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Slots   int    `json:"slots"` // of an executor
	Leaving bool   `json:"leaving"`
}

// ListResponse answers GET /vms. It lags.
type ListResponse struct {
	VMs []ListedVM `json:"vms"`
}

// FenceRequest is the body of POST /fence on a worker; an Inventory answers.
type FenceRequest struct {
	Epoch leaser.Epoch `json:"epoch"`
	VM    string       `json:"vm"` // that holds the epoch; two VMs may take the same sub-term
}

// CommandRequest is the body of POST /prepare, /start, /checkpoint, /throttle
// and /stop on a worker.
type CommandRequest struct {
	Epoch leaser.Epoch `json:"epoch"`
	VM    string       `json:"vm"` // that holds the epoch
	Lease leaser.Lease `json:"lease"`
}

// CommandResponse answers a command: 200 when done, 409 when fenced off, 422
// when refused.
type CommandResponse struct {
	Epoch  leaser.Epoch `json:"epoch"` // highest that the worker has seen
	Reason string       `json:"reason"`
}

// RenewRequest is the body of POST /renew on a worker; an Inventory answers.
// It needs no epoch, for it decides nothing.
type RenewRequest struct {
	TTLMS        int64       `json:"ttl-ms"`
	Renew        []leaser.ID `json:"renew,omitempty"`
	Acknowledged []leaser.ID `json:"acknowledged,omitempty"` // ended leases that need not be listed again
	Known        string      `json:"known,omitempty"`        // mark of the inventory that the asker has; a brief one answers when it still holds
	RenewKnown   bool        `json:"renew-known,omitempty"`  // renew all running leases, if the mark still holds
}

// The headers between an entry VM and an executor.
const (
	HeaderRequestID      = "Lacewingdoor-Request-Id"   // echoed by the executor
	HeaderOutcome        = "Lacewingdoor-Outcome"      // "not-run" on a refusal that ran nothing
	HeaderState          = "Lacewingdoor-State"        // "leaving" on any answer of a leaving executor
	HeaderDigest         = "Content-Digest"            // RFC 9530, sha-256
	HeaderIdempotencyKey = "Idempotency-Key"           // from callers: MINT-UNIX-SECONDS "-" RANDOM
	HeaderDeadlineMS     = "Lacewingdoor-Deadline-Ms"  // milliseconds left
	HeaderOrganisation   = "Lacewingdoor-Organisation" // of the caller
)
