// Package reducer decides which jobs run, where and when, and who leads.
//
// Each entry VM feeds every event to Reduce in one goroutine, and carries out
// the effects that come back. Only the leader's effects place jobs.
package reducer

import (
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// table is a persistent map with its keys in order.
type table[V any] = *immutable.SortedMap[string, V]

func newTable[V any]() table[V] { return immutable.NewSortedMap[string, V](nil) }

// State is the control state of one entry VM. It is immutable.
type State struct {
	self     string
	settings Settings

	// What the control stream says; the same on every VM that read as far.
	term     int64 // term in force, 0 when none is known
	leader   string
	verified bool  // the stream was read from its start, or a leader vouched for the term
	next     int64 // offset after the last record that was read
	jobs     table[*job]
	endings  table[string] // ended jobs by endingKey, until they are forgotten

	// What else is known.
	logUp     bool
	upAt      time.Time // when the log was back last, zero if it never was away
	caughtAt  time.Time // when the stream was last read to its end
	absent    time.Time // PeersChanged.Missing
	rejoined  time.Time // when a missing entry VM was last heard again, or taken off the list
	live      []string
	goneAt    time.Time // since when the leader is missing, zero when it is not
	claim     claim
	shown     leaser.Epoch // highest epoch that a worker was heard to obey
	config    decoder.Config
	tenants   table[*tenant]
	listed    []WorkerListed
	workers   table[*worker]
	estimates estimator.Estimator
	possible  table[struct{}] // what jobs need and was found possible, by needKey

	// What the leader alone keeps.
	epoch     leaser.Epoch // own epoch, zero when not leading
	recovery  recovery
	gangs     table[*gang]
	queues    table[table[string]] // waiting jobs by organisation, then by queueKey
	used      table[placer.Resources]
	timers    table[timer]
	armed     table[string] // key in timers by timer
	outbox    table[*pending]
	reclaims  table[*reclaim]
	reserved  reservation
	placeable bool      // something changed that may let a waiting job start
	urgent    bool      // an urgent job waits for the next pass
	passed    time.Time // when the last pass was
}

// New returns the state of an entry VM that knows nothing yet.
func New(self string) State {
	s := State{
		self:      self,
		logUp:     true,
		jobs:      newTable[*job](),
		endings:   newTable[string](),
		tenants:   newTable[*tenant](),
		possible:  newTable[struct{}](),
		workers:   newTable[*worker](),
		estimates: estimator.New(estimator.DefaultKeys),
	}
	s.clearLead()
	return s
}

// WithSettings returns the state with other settings.
func (s State) WithSettings(v Settings) State {
	s.settings = v
	return s
}

// clearLead forgets what only a leader keeps.
func (s *State) clearLead() {
	s.epoch = leaser.Epoch{}
	s.recovery = recovery{}
	s.gangs = newTable[*gang]()
	s.queues = newTable[table[string]]()
	s.used = newTable[placer.Resources]()
	s.timers = newTable[timer]()
	s.armed = newTable[string]()
	s.outbox = newTable[*pending]()
	s.reclaims = newTable[*reclaim]()
	s.reserved = reservation{}
	s.placeable = false
	s.urgent = false
}

// holding reports whether this VM commands workers, though it may still be
// reading their inventories.
func (s State) holding() bool { return s.epoch != leaser.Epoch{} }

// Leading reports whether this VM may decide placements now.
func (s State) Leading() bool { return s.holding() && !s.recovery.active }

// Leader returns the VM that last took leadership, "" when none is known.
func (s State) Leader() string { return s.leader }

// Epoch returns the highest epoch that is known to be in force.
func (s State) Epoch() leaser.Epoch {
	if s.holding() {
		return s.epoch
	}
	return leaser.Epoch{Term: s.term}
}
