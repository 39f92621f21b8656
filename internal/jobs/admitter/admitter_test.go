package admitter_test

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/admitter"
)

const (
	kb = 1 << 10
	mb = 1 << 20
)

var (
	start = time.Unix(1000, 0)
	limit = admitter.Size{Memory: 24 * mb, Stored: 100 * mb}
)

func job(memory int64) admitter.Size { return admitter.Size{Memory: memory, Stored: memory / 2} }

// fill lets an organisation store and read jobs until it is refused, and returns its memory.
func fill(t *testing.T, a *admitter.Admitter, organisation string) (memory int64, err error) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d", organisation, i)
		if _, err = a.Reserve(start, id, organisation, job(4*kb), 1); err != nil {
			return memory, err
		}
		a.Keep(id, organisation, job(4*kb))
		memory += 4 * kb
		if memory > limit.Memory {
			t.Fatal("more than the limit was admitted")
		}
	}
}

// One organisation could take all the room, so that no other one's jobs were accepted.
func TestOrganisationLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	a := admitter.New(limit)
	first, err := fill(t, a, "o")
	is.True(errors.Is(err, admitter.ErrShare))
	is.True(first >= limit.Memory*74/100 && first <= limit.Memory*75/100)
	for _, o := range []string{"p", "q", "r"} {
		next, err := fill(t, a, o)
		is.True(errors.Is(err, admitter.ErrShare))
		is.True(next >= 100*kb)
	}
	for i := range 100 {
		a.Remove(fmt.Sprintf("o-%d", i))
	}
	_, err = a.Reserve(start, "x", "r", job(4*kb), 1)
	is.NoErr(err) // room that is free again goes to those that have less
	_, err = a.Reserve(start, "y", "o", job(4*kb), 1)
	is.True(errors.Is(err, admitter.ErrShare))
}

// A job that would never fit must not be sent back to try again, and the largest one that may fit
// is admitted in calm, whatever the number of VMs.
func TestLargeJobs(t *testing.T) {
	is := is.New(t)
	a := admitter.New(limit)
	_, err := a.Reserve(start, "a", "o", job(limit.Memory/2+1), 1)
	is.True(errors.Is(err, admitter.ErrTooLarge))
	exclusive, err := a.Reserve(start, "a", "o", job(limit.Memory/2), 147)
	is.NoErr(err)
	is.True(exclusive) // no other VM may add to it meanwhile
	exclusive, err = admitter.New(limit).Reserve(start, "a", "o", job(100*kb), 147)
	is.NoErr(err)
	is.True(!exclusive)
}

// Room stayed taken after an append that failed, and for ever after one whose result is unknown.
func TestReservationsEnd(t *testing.T) {
	is := is.New(t)
	a := admitter.New(limit)
	reserve := func(at time.Time) {
		t.Helper()
		_, err := a.Reserve(at, "a", "o", job(mb), 1)
		is.NoErr(err)
	}
	reserve(start)
	reserve(start) // the same submission again, while the first is being handled
	is.Equal(a.Held(), job(mb))
	a.Release("a")
	is.Equal(a.Held(), job(mb))
	a.Release("a")
	is.Equal(a.Held(), admitter.Size{})
	reserve(start)
	_, err := a.Reserve(start.Add(time.Minute), "b", "o", job(kb), 1)
	is.NoErr(err)
	is.Equal(a.Held(), job(kb))
	a.Keep("b", "o", job(kb))
	a.Release("b") // it was read already
	is.Equal(a.Held(), job(kb))
	a.Remove("b")
	is.Equal(a.Held(), admitter.Size{})
}

// VMs that know of each other's jobs only a read later must not exceed the limit together.
func TestVMsTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type stored struct {
			id   string
			size admitter.Size
		}
		var log []stored
		vms := make([]*admitter.Admitter, rapid.IntRange(1, 12).Draw(t, "vms"))
		read := make([]int, len(vms))
		var total int64
		for i := range vms {
			vms[i] = admitter.New(limit)
		}
		catchUp := func(i int) {
			for ; read[i] < len(log); read[i]++ {
				vms[i].Keep(log[read[i]].id, "o", log[read[i]].size)
			}
		}
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if step%(40*len(vms)) == 0 { // each VM reads at least that often
				for i := range vms {
					catchUp(i)
				}
			}
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				catchUp(i)
				continue
			}
			s := stored{strconv.Itoa(step), job(rapid.Int64Range(kb, 2*mb).Draw(t, "size"))}
			exclusive, err := vms[i].Reserve(start, s.id, "o", s.size, len(vms))
			if err != nil {
				continue
			}
			if exclusive {
				catchUp(i)
				if !vms[i].Fits() {
					vms[i].Release(s.id)
					continue
				}
			}
			log = append(log, s)
			total += s.size.Memory
		}
		if slack := int64(len(vms)) * 2 * 128 * kb; total > limit.Memory+slack {
			t.Fatalf("%d VMs accepted %d KB, limit %d KB", len(vms), total/kb, limit.Memory/kb)
		}
	})
}
