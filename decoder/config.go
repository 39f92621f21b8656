// Package decoder parses and validates the TOML configuration files of operators
// and the settings file of an entry VM.
package decoder

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Config is the whole configuration at one revision. It is immutable;
// organisations, guarantees, teams and services are sorted by name, routes by path.
type Config struct {
	Revision      int64 // offset of the last change in force, 0 when there is none
	Organisations []Organisation
	Services      []Service
	Capacity      []WorkerGroup // declared workers that guarantees are checked against, empty when not declared
}

// WorkerGroup declares a number of identical workers.
type WorkerGroup struct {
	Racks          int
	WorkersPerRack int
	Worker         placer.Resources // of one worker
}

// Organisation is a tenant.
type Organisation struct {
	Name       string
	KeyHashes  []string // hex SHA-256 of each bearer key
	Operator   bool     // may publish configuration
	Weight     int      // share of slots relative to other organisations
	Guarantees []Guarantee
	Teams      []Team
}

// Guarantee is reserved capacity, which is reclaimed from borrowers when its
// organisation needs it.
type Guarantee struct {
	Name         string
	Blocks       int              // number of identical blocks
	Block        placer.Resources // size of each block
	Adjacency    placer.Adjacency // topology constraint within a block
	From         time.Duration    // start, as time since local midnight
	To           time.Duration    // end; before From when the hours span midnight; equal to From for all day
	TimeZone     string           // IANA name
	Location     *time.Location   // resolved from TimeZone
	ReclaimBound time.Duration    // maximum time from the reclaim request until the capacity is free
	Grace        time.Duration    // time for a borrower to checkpoint
}

// Team is a part of an organisation with its own quota.
type Team struct {
	Name  string
	Quota placer.Resources // zero amounts are unlimited
}

// Service holds the routes, limits and job defaults of a service.
type Service struct {
	Name         string
	Organisation string
	Routes       []Route // the longest matching path applies
	Share        int     // guaranteed slots in percent of all slots, 0 when none
	RetryPercent int     // retries allowed per hundred requests
	QueueLimit   int     // maximum queue length per entry VM, in requests
	Job          JobDefaults
}

// Route holds the settings of requests under one path.
type Route struct {
	Path          string // path prefix below the service's name
	Class         string // "short" or "long"; an initial estimate
	NonIdempotent bool
	Deadline      time.Duration
	DeclaredRun   time.Duration // initial estimate of the run time
	MaxBody       int64         // bytes
}

// JobDefaults holds the values that apply to a service's jobs unless a job sets its own.
type JobDefaults struct {
	Gang           placer.Request
	Checkpointable bool
	NonIdempotent  bool
	DeclaredRun    time.Duration
}
