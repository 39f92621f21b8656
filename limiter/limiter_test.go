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

func TestOwnDividesSlotsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		vms := names("vm", rapid.IntRange(1, 12).Draw(t, "vms"))
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		x := rapid.StringMatching(`[a-z0-9.:]{1,20}`).Draw(t, "executor")
		sum, least, most := 0, slots, 0
		for _, vm := range vms {
			n := limiter.OwnedSlots(vms, vm, x, slots)
			sum += n
			least = min(least, n)
			most = max(most, n)
		}
		is.Equal(sum, slots)
		is.True(most-least <= 1)
		is.Equal(limiter.OwnedSlots(vms, "stranger", x, slots), 0)
	})
}

// Guards against a skewed hash: with one slot per executor, each VM must own about
// the same number of slots of the whole service.
func TestOwnSpreadsRemaindersOverVMs(t *testing.T) {
	is := is.New(t)
	vms := names("vm", 7)
	for _, vm := range vms {
		sum := 0
		for _, x := range names("executor", 700) {
			sum += limiter.OwnedSlots(vms, vm, x, 1)
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
		var taken []string
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
				canAcquire := p.CanAcquire(now, limiter.Choice{})
				id, ok := p.Acquire(now, limiter.Choice{})
				is.Equal(ok, canAcquire)
				if !ok {
					for id, n := range slots {
						is.True(busy[id] >= n) // no slot is free
					}
					return
				}
				busy[id]++
				taken = append(taken, id)
				is.True(busy[id] <= slots[id])
			},
			"give": func(t *rapid.T) {
				if len(taken) == 0 {
					return
				}
				i := rapid.IntRange(0, len(taken)-1).Draw(t, "held")
				busy[taken[i]]--
				p.Release(taken[i])
				taken = append(taken[:i], taken[i+1:]...)
			},
			"": func(*rapid.T) { is.Equal(p.InUse(), len(taken)) },
		})
	})
}

func TestPoolAvoidsTriedExecutorsAndZone(t *testing.T) {
	is := is.New(t)
	var p limiter.Pool
	p.Set(now, []limiter.Executor{
		{ID: "a1", Zone: "a", Slots: 1}, {ID: "a2", Zone: "a", Slots: 9}, {ID: "b1", Zone: "b", Slots: 1},
	})
	c := limiter.Choice{Avoid: []string{"a1"}, AvoidZone: "a"}
	id, _ := p.Acquire(now, c)
	is.Equal(id, "b1") // another availability zone first
	id, _ = p.Acquire(now, c)
	is.Equal(id, "a2") // then an untried executor of the avoided zone
	p.MarkLeaving(now, "a2")
	_, ok := p.Acquire(now, c)
	is.True(!ok) // b1 is available though busy, so a1 is not tried again
	p.Release("b1")
	p.MarkLeaving(now, "b1")
	id, _ = p.Acquire(now, c)
	is.Equal(id, "a1") // no untried executor is available
	is.Equal(p.Slots(), 1)
	p.Refresh(now.Add(limiter.LeavingExclusion))
	is.Equal(p.Slots(), 11) // the lists no longer lag, and still show both
}

func TestPoolPrefersLocalZone(t *testing.T) {
	is := is.New(t)
	var p limiter.Pool
	p.Set(now, []limiter.Executor{{ID: "a1", Zone: "a", Slots: 2}, {ID: "b1", Zone: "b", Slots: 2}, {ID: "b2", Zone: "b", Slots: 1}})
	var taken []string
	for range 5 {
		id, _ := p.Acquire(now, limiter.Choice{Zone: "b"})
		taken = append(taken, id)
	}
	is.Equal(taken, []string{"b1", "b2", "b1", "a1", "a1"})
	p.Release("a1")
	p.Release("b1")
	id, _ := p.Acquire(now, limiter.Choice{Zone: "b", AvoidZone: "b"})
	is.Equal(id, "a1") // AvoidZone takes precedence over Zone
}

func TestUsageReservesSlotsForShortWorkAndOwner(t *testing.T) {
	is := is.New(t)
	u := limiter.Usage{Owner: "o", Share: 50}
	const slots = 10
	long := limiter.Work{Organisation: "x", Long: true}
	short := limiter.Work{Organisation: "x"}
	nonPreemptible := limiter.Work{Organisation: "x", NonPreemptible: true}
	ownLong := limiter.Work{Organisation: "o", Long: true}
	own := limiter.Work{Organisation: "o"}
	for range 4 {
		is.True(u.CanStart(long, slots))
		u.Start(long)
	}
	is.True(u.CanStart(nonPreemptible, slots))
	u.Start(nonPreemptible)
	is.True(!u.CanStart(long, slots)) // half is guaranteed to the owner
	is.True(!u.CanStart(nonPreemptible, slots))
	for range 4 {
		is.True(u.CanStart(ownLong, slots))
		u.Start(ownLong)
	}
	is.True(!u.CanStart(ownLong, slots)) // a fifth is reserved for short work
	is.True(u.OwnerFirst(slots))
	is.Equal(u.SlotsToReclaim(3, 1, slots), 1) // the owner holds four of its five slots
	u.Start(short)
	is.True(!u.CanStart(own, slots)) // all slots are in use
	u.Finish(long)
	u.Finish(short) // a short request ran too long and counts as long
	u.Start(long)
	is.True(!u.CanStart(long, slots))
	is.True(!u.CanStart(nonPreemptible, slots))
	is.True(u.CanStart(own, slots))
	u.Start(long)
	is.Equal(u.SlotsToReclaim(1, 1, slots), 0) // a reclaimed slot would not let long work start
}

func TestPoolEjectsAtMostHalfOfExecutors(t *testing.T) {
	is := is.New(t)
	var p limiter.Pool
	var list []limiter.Executor
	for _, id := range names("e", 9) {
		list = append(list, limiter.Executor{ID: id, Slots: 4})
	}
	p.Set(now, list)
	for range 10 {
		for _, x := range list {
			p.ReportResult(now, x.ID, false)
		}
	}
	is.Equal(p.Slots(), 5*4)
	later := now.Add(time.Second)
	p.Refresh(later)
	is.Equal(p.Slots(), 5*4+4) // one slot each until an attempt succeeds
	p.ReportResult(later, "e0", true)
	is.Equal(p.Slots(), 6*4+3)
	p.ReportResult(later, "e1", false) // fails again and is ejected for longer
	p.Refresh(later.Add(time.Second))
	is.Equal(p.Slots(), 6*4+2)
}
