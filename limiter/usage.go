package limiter

const (
	shortReservePercent = 20 // of the slots, reserved for short work
	percent             = 100
)

// Usage counts the slots in use for one service and decides what may start. Short
// work that ran too long counts as long.
type Usage struct {
	Owner string // organisation of the service; it has the guaranteed share
	Share int    // guaranteed share of the slots, in percent

	used    count
	tenants map[string]count // by organisation
}

// Work describes a request that holds or needs a slot.
type Work struct {
	Organisation   string
	Long           bool
	NonPreemptible bool // short and not idempotent, so it is not stopped once it has started
}

// count is a number of slots in use.
type count struct {
	total          int
	long           int
	nonPreemptible int // short work with NonPreemptible set
}

func (w Work) count() count {
	c := count{total: 1}
	switch {
	case w.Long:
		c.long = 1
	case w.NonPreemptible:
		c.nonPreemptible = 1
	}
	return c
}

// Start adds work that takes a slot.
func (u *Usage) Start(w Work) { u.add(w.Organisation, w.count(), 1) }

// Finish removes work that releases its slot. Short work that ran too long is
// finished as short and started as long.
func (u *Usage) Finish(w Work) { u.add(w.Organisation, w.count(), -1) }

func (u *Usage) add(organisation string, c count, sign int) {
	if u.tenants == nil {
		u.tenants = make(map[string]count)
	}
	t := u.tenants[organisation]
	u.tenants[organisation] = t.plus(c, sign)
	u.used = u.used.plus(c, sign)
}

func (c count) plus(o count, sign int) count {
	return count{total: c.total + sign*o.total, long: c.long + sign*o.long, nonPreemptible: c.nonPreemptible + sign*o.nonPreemptible}
}

// InUse returns the number of slots that an organisation holds.
func (u *Usage) InUse(organisation string) int { return u.tenants[organisation].total }

// Guaranteed returns how many of slots are guaranteed to the owner.
func (u *Usage) Guaranteed(slots int) int { return (slots*u.Share + percent - 1) / percent }

// OwnerFirst reports whether the owner is below its guaranteed share, so that it
// gets the next free slot.
func (u *Usage) OwnerFirst(slots int) bool { return u.InUse(u.Owner) < u.Guaranteed(slots) }

// LongLimit returns how many of slots long work may hold.
func (u *Usage) LongLimit(slots int) int {
	if slots <= 1 {
		return slots
	}
	return slots - max(1, slots*shortReservePercent/percent)
}

// CanStart reports whether work may start in one of slots. In the owner's
// guaranteed slots other organisations may run only short work that can be
// stopped, so the owner gets these slots back within the time of one short
// request.
func (u *Usage) CanStart(w Work, slots int) bool {
	if u.used.total >= slots || (w.Long && u.used.long >= u.LongLimit(slots)) {
		return false
	}
	if w.Organisation == u.Owner || (!w.Long && !w.NonPreemptible) {
		return true
	}
	owner := u.tenants[u.Owner]
	others := u.used.long + u.used.nonPreemptible - owner.long - owner.nonPreemptible
	return others < slots-u.Guaranteed(slots)
}

// SlotsToReclaim returns how many slots are to be reclaimed for the owner from
// borrowers that ran too long. The owner has waiting requests, of which
// waitingLong are long.
func (u *Usage) SlotsToReclaim(waiting, waitingLong, slots int) int {
	if u.used.long > u.LongLimit(slots) {
		waiting -= waitingLong // a reclaimed slot would not let long work start
	}
	return min(waiting, u.Guaranteed(slots)-u.InUse(u.Owner))
}
