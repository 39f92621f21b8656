package limiter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/limiter"
)

const step = 250 * time.Millisecond // of the simulation; heartbeats go out with every fourth

// site is entry VMs that exchange heartbeats and read lists.
type site struct {
	now     time.Time
	random  *rand.Rand
	vms     map[string]*vm
	names   []string
	cut     func(a, b string) bool
	pending []message
	lost    float64
}

type vm struct {
	members     heartbeater.State
	division    limiter.Division
	incarnation uint64
	sequence    uint64
	phase       int
	up          bool
	paused      bool
}

// message is a heartbeat, or the answer to one, on its way.
type message struct {
	at       time.Time
	from, to string
	digest   heartbeater.Digest
	answer   bool
}

func newSite(n int, seed uint64) *site {
	s := &site{
		now: now, random: rand.New(rand.NewPCG(seed, 1)), vms: map[string]*vm{},
		names: names("vm", n), cut: func(_, _ string) bool { return false },
	}
	for _, name := range s.names {
		s.vms[name] = &vm{}
	}
	return s
}

func (s *site) start(name string) {
	v := s.vms[name]
	*v = vm{
		members: heartbeater.New(name), division: limiter.NewDivision(name, heartbeater.SuspectAfter),
		incarnation: v.incarnation + 1, up: true, phase: s.random.IntN(4),
	}
	s.list(name, nil)
}

// list lets a VM read a list of all VMs but those that it lacks.
func (s *site) list(name string, lacks []string) {
	var l []heartbeater.Listed
	for _, n := range s.names {
		if !slices.Contains(lacks, n) {
			l = append(l, heartbeater.Listed{VM: n, Address: n})
		}
	}
	s.vms[name].members = s.vms[name].members.WithListed(s.now, l)
}

func (s *site) run(span time.Duration, check func()) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.deliver()
		for _, n := range s.names {
			if v := s.vms[n]; v.up && !v.paused {
				s.tick(n, v)
			}
		}
		check()
	}
}

func (s *site) tick(n string, v *vm) {
	members, paused := v.members.WithTick(s.now)
	v.members = members
	s.divide(v, paused)
	v.phase++
	if v.phase%4 != 0 {
		return
	}
	for _, m := range v.members.Calls(s.now) {
		s.send(n, m.Digest.VM, false)
	}
}

func (s *site) divide(v *vm, paused bool) {
	v.division = v.division.With(s.now, limiter.Sight{
		Present: v.members.Others(s.now), Mutual: v.members.Mutual(s.now), Known: v.members.Known(), Paused: paused,
	})
}

func (s *site) send(from, to string, answer bool) {
	v := s.vms[from]
	v.sequence++
	d := heartbeater.Digest{VM: from, Address: from, Incarnation: v.incarnation, Sequence: v.sequence, Heard: v.members.Heard(s.now)}
	if s.cut(from, to) || s.random.Float64() < s.lost {
		return
	}
	s.pending = append(s.pending, message{s.now.Add(time.Duration(s.random.Int64N(int64(step)))), from, to, d, answer})
}

func (s *site) deliver() {
	due := s.pending
	s.pending = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.pending = append(s.pending, m)
			continue
		}
		v := s.vms[m.to]
		if !v.up || v.paused {
			continue
		}
		v.members = v.members.WithHeard(s.now, m.digest)
		s.divide(v, false)
		if !m.answer {
			s.send(m.to, m.from, true)
		}
	}
}

// given returns how many slots of an executor the VMs that run may use in sum.
func (s *site) given(executor string, slots int, whose func(name string) bool) int {
	sum := 0
	for _, n := range s.names {
		if v := s.vms[n]; v.up && !v.paused && whose(n) {
			sum += v.division.Own(executor, slots)
		}
	}
	return sum
}

func all(string) bool { return true }

// While VMs start, die, restart and are paused, and lists lag and are wrong, no
// executor is given more than its slots; when it is quiet again it is given all.
func TestDivisionWhileVMsComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := newSite(rapid.IntRange(1, 8).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		s.lost = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "lost")
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		check := func() {
			for _, x := range []string{"e0", "e1", "e2"} {
				is.True(s.given(x, slots, all) <= slots)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			n := rapid.SampledFrom(s.names).Draw(t, "vm")
			v := s.vms[n]
			switch rapid.SampledFrom([]string{"start", "start", "die", "pause", "list"}).Draw(t, "change") {
			case "start":
				if !v.up {
					s.start(n)
				}
				v.paused = false
			case "die":
				v.up = false
			case "pause":
				v.paused = v.up
			case "list":
				if v.up && !v.paused {
					s.list(n, rapid.SliceOf(rapid.SampledFrom(s.names)).Draw(t, "lacks"))
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "steps"))*step, check)
		}
		for _, n := range s.names {
			if s.vms[n].paused = false; !s.vms[n].up {
				s.start(n)
			}
		}
		s.lost = 0
		s.run(15*time.Second, check)
		is.Equal(s.given("e0", slots, all), slots)
	})
}

// While VMs are cut off from one another, no executor is given more than its slots
// and the shares that the VMs had that exchange heartbeats with half or fewer;
// when the cut ends, it is given its slots again.
func TestDivisionOfCutVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := newSite(rapid.IntRange(2, 8).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		for _, n := range s.names {
			s.start(n)
		}
		nothing := func() {}
		s.run(15*time.Second, nothing)
		s.lost = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost") // before the cut
		s.run(5*time.Second, nothing)
		s.lost = 0
		links := map[[2]string]bool{}
		for i, a := range s.names {
			for _, b := range s.names[:i] {
				links[[2]string{a, b}] = rapid.Bool().Draw(t, "cut")
			}
		}
		s.cut = func(a, b string) bool { return links[[2]string{a, b}] || links[[2]string{b, a}] }
		most := func(name string) bool {
			reached := 0
			for _, n := range s.names {
				if !s.cut(name, n) {
					reached++
				}
			}
			return 2*reached > len(s.names)
		}
		s.run(20*time.Second, func() {
			bound := slots
			for _, n := range s.names {
				if !most(n) {
					bound += limiter.Own(s.names, n, "e", slots)
				}
			}
			is.True(s.given("e", slots, most) <= slots)
			is.True(s.given("e", slots, all) <= bound)
		})
		s.cut = func(_, _ string) bool { return false }
		s.run(15*time.Second, nothing)
		is.Equal(s.given("e", slots, all), slots)
	})
}

// A VM that is cut off hears the others fall silent one by one; until all had
// time to, it drops none of them.
func TestDivisionDropsNoneBeforeAllHadTimeToFallSilent(t *testing.T) {
	is := is.New(t)
	const suspect = heartbeater.SuspectAfter
	known := []string{"a", "b", "c", "d"}
	d := limiter.NewDivision("self", suspect).With(now, limiter.Sight{Present: known, Mutual: known, Known: known})
	is.True(d.Joined())
	first := limiter.Sight{Present: known[1:], Mutual: known[1:], Known: known}
	almost := now.Add(suspect - 1)
	d = d.With(almost, first)
	is.Equal(len(d.VMs()), 5)
	is.Equal(d.With(now.Add(suspect), first).VMs(), []string{"b", "c", "d", "self"}) // not cut off
	is.Equal(len(d.With(now.Add(suspect), limiter.Sight{Known: known}).VMs()), 5)    // cut off
	is.Equal(d.With(now.Add(2*suspect), limiter.Sight{}).VMs(), []string{"self"})    // all are forgotten
	is.Equal(len(d.With(now.Add(suspect), first).With(now.Add(suspect), limiter.Sight{Present: known, Mutual: known, Known: known}).VMs()), 5)
}
