package limiter

const (
	shortReservePercent = 20 // slots that long work leaves to short work
	percent             = 100
)

// Usage counts the slots in use for one service, and says what may start. Short
// work that ran too long counts as long.
type Usage struct {
	Owner string // organisation of the service, which has the guaranteed share
	Share int    // guaranteed slots in percent

	sum     count
	tenants map[string]count // by organisation
}

// Work is what counts of a request: whether it is long, and whether it is short
// but may not be stopped.
type Work struct {
	Organisation string
	Long         bool
	Held         bool // short, and not idempotent
}

type count struct {
	all  int
	long int
	held int // short work that is not stopped
}

func (w Work) count() count {
	c := count{all: 1}
	switch {
	case w.Long:
		c.long = 1
	case w.Held:
		c.held = 1
	}
	return c
}

// Start counts work that takes a slot.
func (u *Usage) Start(w Work) { u.add(w.Organisation, w.count(), 1) }

// Finish counts work that gives its slot back. Work that ran too long finishes
// as short and starts as long.
func (u *Usage) Finish(w Work) { u.add(w.Organisation, w.count(), -1) }

func (u *Usage) add(organisation string, c count, sign int) {
	if u.tenants == nil {
		u.tenants = make(map[string]count)
	}
	t := u.tenants[organisation]
	u.tenants[organisation] = t.plus(c, sign)
	u.sum = u.sum.plus(c, sign)
}

func (c count) plus(o count, sign int) count {
	return count{all: c.all + sign*o.all, long: c.long + sign*o.long, held: c.held + sign*o.held}
}

// InUse returns the number of slots that an organisation holds.
func (u *Usage) InUse(organisation string) int { return u.tenants[organisation].all }

// Guaranteed returns how many of slots are the owner's.
func (u *Usage) Guaranteed(slots int) int { return (slots*u.Share + percent - 1) / percent }

// OwnerFirst reports whether the owner is below its guaranteed share, so that
// the next free slot is its.
func (u *Usage) OwnerFirst(slots int) bool { return u.InUse(u.Owner) < u.Guaranteed(slots) }

// LongLimit returns how many of slots long work may hold.
func (u *Usage) LongLimit(slots int) int {
	if slots <= 1 {
		return slots
	}
	return slots - max(1, slots*shortReservePercent/percent)
}

// May reports whether work may start in one of slots. Within the owner's
// guaranteed share others may run only short work that can be stopped, so the
// owner has it back within the time of one short request.
func (u *Usage) May(w Work, slots int) bool {
	if u.sum.all >= slots || (w.Long && u.sum.long >= u.LongLimit(slots)) {
		return false
	}
	if w.Organisation == u.Owner || (!w.Long && !w.Held) {
		return true
	}
	owner := u.tenants[u.Owner]
	others := u.sum.long + u.sum.held - owner.long - owner.held
	return others < slots-u.Guaranteed(slots)
}

// Due returns how many slots the owner, which has so much waiting, is to get
// back from borrowers that ran too long.
func (u *Usage) Due(waiting, long, slots int) int {
	if u.sum.long > u.LongLimit(slots) {
		waiting -= long // a slot more would not let long work start
	}
	return min(waiting, u.Guaranteed(slots)-u.InUse(u.Owner))
}
