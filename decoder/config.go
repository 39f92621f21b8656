// Package decoder reads the files that operators keep beside their services,
// and defines the configuration that they amount to.
package decoder

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Config is the whole configuration at one revision. It is never changed once
// built; slices are sorted by name.
type Config struct {
	Revision      int64 // offset of the last change in force, 0 when there is none
	Organisations []Organisation
	Services      []Service
	Capacity      []WorkerGroup // what guarantees are checked against, empty when not declared
}

// WorkerGroup declares a number of equal workers.
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

// Guarantee is capacity that an organisation can always have back.
type Guarantee struct {
	Name         string
	Blocks       int              // number of equal blocks
	Block        placer.Resources // size of each block
	Adjacency    placer.Adjacency // closeness within a block
	From         time.Duration    // start, as time since local midnight
	To           time.Duration    // end; before From when the hours pass midnight; equal for all day
	TimeZone     string           // IANA name
	Location     *time.Location   // of TimeZone, resolved
	ReclaimBound time.Duration    // longest time from call to return
	Grace        time.Duration    // time that a borrower has to checkpoint
}

// Team is a part of an organisation with a quota of its own.
type Team struct {
	Name  string
	Quota placer.Resources // zero amounts are unlimited
}

// Service is what a service's callers may ask and what its jobs need.
type Service struct {
	Name         string
	Organisation string
	Routes       []Route // the longest matching path counts
	Share        int     // guaranteed slots in percent, 0 when none
	RetryPercent int     // retries allowed per hundred requests
	QueueLimit   int     // longest queue per entry VM, in requests
	Job          JobDefaults
}

// Route is how requests under one path are treated.
type Route struct {
	Path          string // prefix of the path below the service's name
	Class         string // "short" or "long", a prior
	NonIdempotent bool
	Deadline      time.Duration
	DeclaredRun   time.Duration // a prior
	MaxBody       int64         // bytes
}

// JobDefaults is what a service's jobs need unless they say otherwise.
type JobDefaults struct {
	Gang           placer.Request
	Checkpointable bool
	NonIdempotent  bool
	DeclaredRun    time.Duration
}
