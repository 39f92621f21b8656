// Package reducer is the control state machine: it schedules jobs and elects the
// leader.
//
// Each entry VM passes every event to Reduce in one goroutine and carries out the
// returned effects. Only the leader places jobs.
package reducer

import (
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// table is a persistent map sorted by key.
type table[V any] = *immutable.SortedMap[string, V]

func newTable[V any]() table[V] { return immutable.NewSortedMap[string, V](nil) }

// State is the control state of one entry VM. It is immutable.
type State struct {
	self     string
	settings Settings

	// Derived from the control stream; identical on every VM at the same offset.
	term         int64 // term in force, 0 if unknown
	leader       string
	termVerified bool  // the stream was read from its start, or the leader confirmed the term
	nextOffset   int64 // offset after the last record read
	jobs         table[*job]
	endedJobs    table[string] // ids of ended jobs by endedKey, until they expire

	// Other inputs, kept by every VM.
	logUp              bool
	logUpSince         time.Time // when the log last became available again, zero if it was never unavailable
	caughtUpAt         time.Time // when the stream was last read to its end
	peerMissingSince   time.Time // PeersChanged.MissingSince
	peerReturnedAt     time.Time // when a missing entry VM was last heard again, or was unlisted
	livePeers          []string
	leaderMissingSince time.Time // zero while the leader is present
	claim              claim
	seenEpoch          leaser.Epoch // highest epoch reported by a worker
	config             decoder.Config
	tenants            table[*tenant]
	workerList         []WorkerListed
	workers            table[*worker]
	estimates          estimator.Estimator
	feasibleKeys       table[struct{}] // requirements known to be feasible, by feasibilityKey

	// Leader state.
	epoch           leaser.Epoch // own epoch, zero when not leading
	recovery        recovery
	gangs           table[*gang]
	queues          table[table[string]] // waiting jobs by organisation, then by queueKey
	usage           table[placer.Resources]
	timers          table[timer]
	timerKeys       table[string] // key in timers, by timer name
	outbox          table[*pendingAppend]
	reclaims        table[*reclaim]
	reserved        reservation
	placementNeeded bool      // a change may allow a waiting job to start
	urgentWaiting   bool      // an urgent job waits for the next placement pass
	lastPass        time.Time // time of the last placement pass
}

// New returns the initial state of an entry VM.
func New(self string) State {
	s := State{
		self:         self,
		logUp:        true,
		jobs:         newTable[*job](),
		endedJobs:    newTable[string](),
		tenants:      newTable[*tenant](),
		feasibleKeys: newTable[struct{}](),
		workers:      newTable[*worker](),
		estimates:    estimator.New(estimator.DefaultKeys),
	}
	s.clearLeaderState()
	return s
}

// WithSettings returns a copy of the state with the given settings.
func (s State) WithSettings(v Settings) State {
	s.settings = v
	return s
}

// clearLeaderState drops the state that only a leader keeps.
func (s *State) clearLeaderState() {
	s.epoch = leaser.Epoch{}
	s.recovery = recovery{}
	s.gangs = newTable[*gang]()
	s.queues = newTable[table[string]]()
	s.usage = newTable[placer.Resources]()
	s.timers = newTable[timer]()
	s.timerKeys = newTable[string]()
	s.outbox = newTable[*pendingAppend]()
	s.reclaims = newTable[*reclaim]()
	s.reserved = reservation{}
	s.placementNeeded = false
	s.urgentWaiting = false
}

// hasEpoch reports whether this VM commands workers under an epoch of its own. It may
// still be reading their inventories.
func (s State) hasEpoch() bool { return s.epoch != leaser.Epoch{} }

// Leading reports whether this VM may decide placements now.
func (s State) Leading() bool { return s.hasEpoch() && !s.recovery.active }

// Leader returns the leader named by the log, or "" if none is known.
func (s State) Leader() string { return s.leader }

// Epoch returns the highest epoch known to be in force.
func (s State) Epoch() leaser.Epoch {
	if s.hasEpoch() {
		return s.epoch
	}
	return leaser.Epoch{Term: s.term}
}
