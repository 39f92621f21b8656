package limiter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/limiter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var now = time.Unix(1_700_000_000, 0)

func names(prefix string, n int) []string {
	s := make([]string, n)
	for i := range s {
		s[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return s
}

func TestOwnIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		vms := names("vm", rapid.IntRange(1, 12).Draw(t, "vms"))
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		x := rapid.StringMatching(`[a-z0-9.:]{1,20}`).Draw(t, "executor")
		sum, least, most := 0, slots, 0
		for _, vm := range vms {
			n := limiter.Own(vms, vm, x, slots)
			sum += n
			least = min(least, n)
			most = max(most, n)
		}
		is.Equal(sum, slots)
		is.True(most-least <= 1)
		is.Equal(limiter.Own(vms, "stranger", x, slots), 0)
	})
}

// A remainder spread by executor gives each VM its part of a whole service.
func TestOwnSpreadsRemainders(t *testing.T) {
	is := is.New(t)
	vms := names("vm", 7)
	for _, vm := range vms {
		sum := 0
		for _, x := range names("executor", 700) {
			sum += limiter.Own(vms, vm, x, 1)
		}
		is.True(sum >= 70 && sum <= 130) // 100 on average
	}
}

func TestPoolNeverExceedsOwnedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var p limiter.Pool
		slots := map[string]int{}
		busy := map[string]int{}
		var held []string
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				var list []limiter.Executor
				clear(slots)
				for _, id := range names("e", rapid.IntRange(0, 5).Draw(t, "executors")) {
					slots[id] = rapid.IntRange(0, 3).Draw(t, "slots")
					list = append(list, limiter.Executor{ID: id, Slots: slots[id]})
				}
				p.Set(now, list)
			},
			"take": func(t *rapid.T) {
				could := p.CanTake(now, limiter.Choice{})
				id, ok := p.Take(now, limiter.Choice{})
				is.Equal(ok, could)
				if !ok {
					for id, n := range slots {
						is.True(busy[id] >= n) // nothing was free
					}
					return
				}
				busy[id]++
				held = append(held, id)
				is.True(busy[id] <= slots[id])
			},
			"give": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "held")
				busy[held[i]]--
				p.Give(held[i])
				held = append(held[:i], held[i+1:]...)
			},
			"": func(*rapid.T) { is.Equal(p.InUse(), len(held)) },
		})
	})
}

func TestPoolChoice(t *testing.T) {
	is := is.New(t)
	var p limiter.Pool
	p.Set(now, []limiter.Executor{
		{ID: "a1", Zone: "a", Slots: 1}, {ID: "a2", Zone: "a", Slots: 9}, {ID: "b1", Zone: "b", Slots: 1},
	})
	c := limiter.Choice{Avoid: []string{"a1"}, AvoidZone: "a"}
	id, _ := p.Take(now, c)
	is.Equal(id, "b1") // another zone first
	id, _ = p.Take(now, c)
	is.Equal(id, "a2") // then another executor
	p.Leave(now, "a2")
	_, ok := p.Take(now, c)
	is.True(!ok) // b1 exists, so a1 is not tried again
	p.Give("b1")
	p.Leave(now, "b1")
	id, _ = p.Take(now, c)
	is.Equal(id, "a1") // nothing else is left
	is.Equal(p.Slots(), 1)
	p.Refresh(now.Add(limiter.LeaveHold))
	is.Equal(p.Slots(), 11) // the lists have caught up and still show them
}

func TestPoolTakesItsOwnZoneFirst(t *testing.T) {
	is := is.New(t)
	var p limiter.Pool
	p.Set(now, []limiter.Executor{{ID: "a1", Zone: "a", Slots: 2}, {ID: "b1", Zone: "b", Slots: 2}, {ID: "b2", Zone: "b", Slots: 1}})
	var taken []string
	for range 5 {
		id, _ := p.Take(now, limiter.Choice{Zone: "b"})
		taken = append(taken, id)
	}
	is.Equal(taken, []string{"b1", "b2", "b1", "a1", "a1"})
	p.Give("a1")
	p.Give("b1")
	id, _ := p.Take(now, limiter.Choice{Zone: "b", AvoidZone: "b"})
	is.Equal(id, "a1") // one to avoid counts more
}

func TestUsageKeepsSlotsForShortWorkAndTheOwner(t *testing.T) {
	is := is.New(t)
	u := limiter.Usage{Owner: "o", Share: 50}
	const slots = 10
	long := limiter.Work{Organisation: "x", Long: true}
	short := limiter.Work{Organisation: "x"}
	held := limiter.Work{Organisation: "x", Held: true}
	ownLong := limiter.Work{Organisation: "o", Long: true}
	own := limiter.Work{Organisation: "o"}
	for range 4 {
		is.True(u.May(long, slots))
		u.Start(long)
	}
	is.True(u.May(held, slots))
	u.Start(held)
	is.True(!u.May(long, slots)) // half is the owner's
	is.True(!u.May(held, slots))
	for range 4 {
		is.True(u.May(ownLong, slots))
		u.Start(ownLong)
	}
	is.True(!u.May(ownLong, slots)) // a fifth is for short work
	is.True(u.OwnerFirst(slots))
	is.Equal(u.Due(3, 1, slots), 1) // four of five are in use
	u.Start(short)
	is.True(!u.May(own, slots)) // all are in use
	u.Finish(long)
	u.Finish(short) // a short one is long now
	u.Start(long)
	is.True(!u.May(long, slots))
	is.True(!u.May(held, slots))
	is.True(u.May(own, slots))
	u.Start(long)
	is.Equal(u.Due(1, 1, slots), 0) // long work would not start for it
}

func TestPoolNeverLeavesOutMoreThanHalf(t *testing.T) {
	is := is.New(t)
	var p limiter.Pool
	var list []limiter.Executor
	for _, id := range names("e", 9) {
		list = append(list, limiter.Executor{ID: id, Slots: 4})
	}
	p.Set(now, list)
	for range 10 {
		for _, x := range list {
			p.Report(now, x.ID, false)
		}
	}
	is.Equal(p.Slots(), 5*4)
	later := now.Add(time.Second)
	p.Refresh(later)
	is.Equal(p.Slots(), 5*4+4) // one at a time until one succeeds
	p.Report(later, "e0", true)
	is.Equal(p.Slots(), 6*4+3)
	p.Report(later, "e1", false) // fails again, and is left out for longer
	p.Refresh(later.Add(time.Second))
	is.Equal(p.Slots(), 6*4+2)
}
