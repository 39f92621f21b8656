// Package admitter decides which jobs are accepted, so that the accepted ones fit into the memory
// of every entry VM and into the store.
//
// Every VM keeps every accepted job until it is deleted, and each VM accepts jobs on its own. It
// knows what the others have accepted from the store, which it reads with a delay. Until then a
// VM may add only a part of the free room, so that all VMs together do not exceed it.
package admitter

import (
	"errors"
	"fmt"
	"time"
)

// Size is what a job or a set of jobs takes, in bytes.
type Size struct {
	Memory int64 // on each VM, at most
	Stored int64 // in the store
}

func (s Size) plus(o Size) Size  { return Size{s.Memory + o.Memory, s.Stored + o.Stored} }
func (s Size) minus(o Size) Size { return Size{s.Memory - o.Memory, s.Stored - o.Stored} }
func (s Size) times(n int64) Size {
	return Size{s.Memory * n, s.Stored * n}
}
func (s Size) over(n int64) Size { return Size{s.Memory / n, s.Stored / n} }

// within reports whether s exceeds the limit in no respect.
func (s Size) within(limit Size) bool { return s.Memory <= limit.Memory && s.Stored <= limit.Stored }

// atLeast returns the larger of both sizes in each respect.
func (s Size) atLeast(o Size) Size { return Size{max(s.Memory, o.Memory), max(s.Stored, o.Stored)} }

const (
	// headroomFactor bounds an organisation to a multiple of the free room. One alone gets 3/4
	// of the limit, two get 3/7 each, and room for others is always left. This is the dynamic
	// threshold of Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory
	// packet switches", IEEE/ACM Transactions on Networking 6(2), 1998.
	headroomFactor = 3

	// unreadPart is the part of the free room that all VMs together may fill between two reads. A
	// VM may use its share of it twice before another VM has read either.
	unreadPart = 2

	maxJobPart = 2 // the part of the limit that one job may take

	smallMemory = 128 << 10 // bytes that each VM may add between two reads whatever its share,
	smallStored = 64 << 10  // so that usual jobs are accepted at once also with hundreds of VMs

	reservationTimeout = 30 * time.Second // after which a job that was not read is taken for not stored
)

// The reasons for which a job is not admitted.
var (
	ErrTooLarge = errors.New("job is too large")
	ErrNoRoom   = errors.New("accepted jobs take all the room")
	ErrShare    = errors.New("accepted jobs of the organisation take all its room")
	ErrUnread   = errors.New("this VM has accepted more jobs than it has read back")
)

// kept is what is known of a job.
type kept struct {
	organisation string
	size         Size
}

// reservation is the room for a job that this VM stores and has not read yet.
type reservation struct {
	kept

	users int // submissions of the same job that are being handled or may have been stored
	until time.Time
}

// Admitter keeps account of the accepted jobs. It is not safe for concurrent use.
type Admitter struct {
	limit        Size
	jobs         map[string]kept // by id
	reservations map[string]reservation
	held         Size // of jobs and reservations
	reserved     Size // of reservations
	byOrg        map[string]Size
}

// New returns an admitter for jobs that together take at most the limit.
func New(limit Size) *Admitter {
	return &Admitter{limit: limit, jobs: map[string]kept{}, reservations: map[string]reservation{}, byOrg: map[string]Size{}}
}

// Limit returns what accepted jobs may take.
func (a *Admitter) Limit() Size { return a.limit }

// Held returns what accepted jobs take, those that were not read yet included.
func (a *Admitter) Held() Size { return a.held }

// Jobs returns the number of jobs that were read and not removed.
func (a *Admitter) Jobs() int { return len(a.jobs) }

// Keep records that a job was read from the store, or that its size has changed.
func (a *Admitter) Keep(id, organisation string, s Size) {
	a.Remove(id)
	a.drop(id)
	a.jobs[id] = kept{organisation, s}
	a.add(organisation, s)
}

// Remove records that a job was deleted.
func (a *Admitter) Remove(id string) {
	if k, ok := a.jobs[id]; ok {
		delete(a.jobs, id)
		a.add(k.organisation, Size{}.minus(k.size))
	}
}

// Reserve reserves room for a job that a number of VMs have to keep, this one included. It
// returns ErrTooLarge if the job is never admitted, and ErrNoRoom, ErrShare or ErrUnread if it
// is not admitted at present.
//
// A job with exclusive set may be larger than what this VM may add between two reads. It must be
// stored only if no other record was stored since the last read.
func (a *Admitter) Reserve(now time.Time, id, organisation string, s Size, vms int) (exclusive bool, err error) {
	if !s.within(a.limit.over(maxJobPart)) {
		return false, fmt.Errorf("%w: it takes %d bytes of memory and %d of the store, the limits are %d and %d", ErrTooLarge,
			s.Memory, s.Stored, a.limit.Memory/maxJobPart, a.limit.Stored/maxJobPart)
	}
	a.expire(now)
	if r, ok := a.reservations[id]; ok {
		r.users++
		r.until = now.Add(reservationTimeout)
		a.reservations[id] = r
		return false, nil
	}
	free := a.limit.minus(a.held)
	switch {
	case !s.within(free):
		return false, ErrNoRoom
	case !a.byOrg[organisation].plus(s).within(free.times(headroomFactor)):
		return false, ErrShare
	}
	if share := free.over(int64(unreadPart * max(1, vms))).atLeast(Size{smallMemory, smallStored}); !a.reserved.plus(s).within(share) {
		if s.within(share) {
			return false, ErrUnread
		}
		exclusive = true
	}
	a.reservations[id] = reservation{kept{organisation, s}, 1, now.Add(reservationTimeout)}
	a.reserved = a.reserved.plus(s)
	a.add(organisation, s)
	return exclusive, nil
}

// Fits reports whether all jobs are within the limit, those with a reservation included.
func (a *Admitter) Fits() bool { return a.held.within(a.limit) }

// Release gives back the room for a job that is certainly not stored.
func (a *Admitter) Release(id string) {
	r, ok := a.reservations[id]
	if !ok {
		return
	}
	if r.users--; r.users > 0 {
		a.reservations[id] = r
		return
	}
	a.drop(id)
}

// expire drops the reservations of jobs that were not read in time.
func (a *Admitter) expire(now time.Time) {
	for id, r := range a.reservations {
		if now.After(r.until) {
			a.drop(id)
		}
	}
}

// drop drops a reservation.
func (a *Admitter) drop(id string) {
	r, ok := a.reservations[id]
	if !ok {
		return
	}
	delete(a.reservations, id)
	a.reserved = a.reserved.minus(r.size)
	a.add(r.organisation, Size{}.minus(r.size))
}

func (a *Admitter) add(organisation string, s Size) {
	a.held = a.held.plus(s)
	n := a.byOrg[organisation].plus(s)
	if n == (Size{}) {
		delete(a.byOrg, organisation)
		return
	}
	a.byOrg[organisation] = n
}
