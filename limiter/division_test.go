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

const step = 250 * time.Millisecond // of the simulation; each VM sends heartbeats every fourth step

// cluster simulates entry VMs that exchange heartbeats and read the VM list.
type cluster struct {
	now         time.Time
	random      *rand.Rand
	vms         map[string]*vm
	names       []string
	partitioned func(a, b string) bool
	pending     []message
	lossRate    float64
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

// message is a heartbeat in transit, or the answer to one.
type message struct {
	at       time.Time
	from, to string
	digest   heartbeater.Digest
	answer   bool
}

func newCluster(n int, seed uint64) *cluster {
	s := &cluster{
		now: now, random: rand.New(rand.NewPCG(seed, 1)), vms: map[string]*vm{},
		names: names("vm", n), partitioned: func(_, _ string) bool { return false },
	}
	for _, name := range s.names {
		s.vms[name] = &vm{}
	}
	return s
}

func (s *cluster) start(name string) {
	v := s.vms[name]
	*v = vm{
		members: heartbeater.New(name), division: limiter.NewDivision(name, heartbeater.SuspectAfter),
		incarnation: v.incarnation + 1, up: true, phase: s.random.IntN(4),
	}
	s.readList(name, nil)
}

// readList lets a VM read a list of all VMs except the missing ones.
func (s *cluster) readList(name string, missing []string) {
	var l []heartbeater.Listed
	for _, n := range s.names {
		if !slices.Contains(missing, n) {
			l = append(l, heartbeater.Listed{VM: n, Address: n})
		}
	}
	s.vms[name].members = s.vms[name].members.WithListed(s.now, l)
}

func (s *cluster) run(span time.Duration, check func()) {
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

func (s *cluster) tick(n string, v *vm) {
	members, paused := v.members.WithTick(s.now)
	v.members = members
	s.updateDivision(v, paused)
	v.phase++
	if v.phase%4 != 0 {
		return
	}
	for _, m := range v.members.HeartbeatTargets(s.now) {
		s.send(n, m.Digest.VM, false)
	}
}

func (s *cluster) updateDivision(v *vm, paused bool) {
	v.division = v.division.WithView(s.now, limiter.View{
		Present: v.members.Others(s.now), Mutual: v.members.Mutual(s.now), Known: v.members.Known(), Paused: paused,
	})
}

func (s *cluster) send(from, to string, answer bool) {
	v := s.vms[from]
	v.sequence++
	d := heartbeater.Digest{VM: from, Address: from, Incarnation: v.incarnation, Sequence: v.sequence, Heard: v.members.Heard(s.now)}
	if s.partitioned(from, to) || s.random.Float64() < s.lossRate {
		return
	}
	s.pending = append(s.pending, message{s.now.Add(time.Duration(s.random.Int64N(int64(step)))), from, to, d, answer})
}

func (s *cluster) deliver() {
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
		s.updateDivision(v, false)
		if !m.answer {
			s.send(m.to, m.from, true)
		}
	}
}

// slotsInSum returns how many slots of an executor the running VMs that are
// included may use in total.
func (s *cluster) slotsInSum(executor string, slots int, included func(name string) bool) int {
	sum := 0
	for _, n := range s.names {
		if v := s.vms[n]; v.up && !v.paused && included(n) {
			sum += v.division.OwnedSlots(executor, slots)
		}
	}
	return sum
}

func allVMs(string) bool { return true }

// Guards against an overcommitted executor while VMs start, die, restart and are
// paused, and while VM lists are stale or wrong. Once the cluster is stable again,
// all slots must be in use.
func TestDivisionNeverExceedsSlotsDuringChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := newCluster(rapid.IntRange(1, 8).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "lost")
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		check := func() {
			for _, x := range []string{"e0", "e1", "e2"} {
				is.True(s.slotsInSum(x, slots, allVMs) <= slots)
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
					s.readList(n, rapid.SliceOf(rapid.SampledFrom(s.names)).Draw(t, "lacks"))
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "steps"))*step, check)
		}
		for _, n := range s.names {
			if s.vms[n].paused = false; !s.vms[n].up {
				s.start(n)
			}
		}
		s.lossRate = 0
		s.run(15*time.Second, check)
		is.Equal(s.slotsInSum("e0", slots, allVMs), slots)
	})
}

// Bounds the overcommitment of an executor during a network partition: VMs that
// reach a majority never use more than its slots, and VMs that reach half or fewer
// add at most the shares that they had before. After the partition, all slots must
// be in use.
func TestDivisionBoundsSlotsDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := newCluster(rapid.IntRange(2, 8).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		for _, n := range s.names {
			s.start(n)
		}
		noCheck := func() {}
		s.run(15*time.Second, noCheck)
		s.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost") // before the partition
		s.run(5*time.Second, noCheck)
		s.lossRate = 0
		cutLinks := map[[2]string]bool{}
		for i, a := range s.names {
			for _, b := range s.names[:i] {
				cutLinks[[2]string{a, b}] = rapid.Bool().Draw(t, "cut")
			}
		}
		s.partitioned = func(a, b string) bool { return cutLinks[[2]string{a, b}] || cutLinks[[2]string{b, a}] }
		hasMajority := func(name string) bool {
			reached := 0
			for _, n := range s.names {
				if !s.partitioned(name, n) {
					reached++
				}
			}
			return 2*reached > len(s.names)
		}
		s.run(20*time.Second, func() {
			bound := slots
			for _, n := range s.names {
				if !hasMajority(n) {
					bound += limiter.OwnedSlots(s.names, n, "e", slots)
				}
			}
			is.True(s.slotsInSum("e", slots, hasMajority) <= slots)
			is.True(s.slotsInSum("e", slots, allVMs) <= bound)
		})
		s.partitioned = func(_, _ string) bool { return false }
		s.run(15*time.Second, noCheck)
		is.Equal(s.slotsInSum("e", slots, allVMs), slots)
	})
}

// Guards against dropping VMs too early: to a VM that is partitioned off, the
// others fall silent one by one. Until the suspect time has passed for all of them
// it must drop none.
func TestDivisionDropsSilentVMsOnlyAfterSuspectTime(t *testing.T) {
	is := is.New(t)
	const suspectAfter = heartbeater.SuspectAfter
	others := []string{"a", "b", "c", "d"}
	d := limiter.NewDivision("self", suspectAfter).WithView(now, limiter.View{Present: others, Mutual: others, Known: others})
	is.True(d.Joined())
	withoutA := limiter.View{Present: others[1:], Mutual: others[1:], Known: others}
	justBefore := now.Add(suspectAfter - 1)
	d = d.WithView(justBefore, withoutA)
	is.Equal(len(d.VMs()), 5)
	is.Equal(d.WithView(now.Add(suspectAfter), withoutA).VMs(), []string{"b", "c", "d", "self"}) // reaches a majority
	is.Equal(len(d.WithView(now.Add(suspectAfter), limiter.View{Known: others}).VMs()), 5)       // partitioned off
	is.Equal(d.WithView(now.Add(2*suspectAfter), limiter.View{}).VMs(), []string{"self"})        // no other VM is known any more
	is.Equal(len(d.WithView(now.Add(suspectAfter), withoutA).WithView(now.Add(suspectAfter), limiter.View{Present: others, Mutual: others, Known: others}).VMs()), 5)
}
