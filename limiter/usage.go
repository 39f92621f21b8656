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

type count struct {
	all  int
	long int
}

// Start counts work that takes a slot.
func (u *Usage) Start(organisation string, long bool) {
	u.add(organisation, count{all: 1})
	if long {
		u.Overstay(organisation)
	}
}

// Overstay counts short work in a slot as long from now on.
func (u *Usage) Overstay(organisation string) { u.add(organisation, count{long: 1}) }

// Finish counts work that gives its slot back.
func (u *Usage) Finish(organisation string, long bool) {
	c := count{all: -1}
	if long {
		c.long = -1
	}
	u.add(organisation, c)
}

func (u *Usage) add(organisation string, c count) {
	if u.tenants == nil {
		u.tenants = make(map[string]count)
	}
	t := u.tenants[organisation]
	u.tenants[organisation] = count{all: t.all + c.all, long: t.long + c.long}
	u.sum.all += c.all
	u.sum.long += c.long
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

// May reports whether an organisation's work may start in one of slots. Within
// the owner's guaranteed share others may run short work only, so the owner has
// it back within the time of one short request.
func (u *Usage) May(organisation string, long bool, slots int) bool {
	if u.sum.all >= slots {
		return false
	}
	if !long {
		return true
	}
	if u.sum.long >= u.LongLimit(slots) {
		return false
	}
	others := u.sum.long - u.tenants[u.Owner].long
	return organisation == u.Owner || others < slots-u.Guaranteed(slots)
}
