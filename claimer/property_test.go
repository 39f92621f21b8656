package claimer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/claimer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	window   = 60 * time.Second
	keep     = 80 * time.Second
	skew     = 2 * time.Second
	vmsOfRun = 3
)

// run is a random run of one stream, with the tables of three VMs.
type run struct {
	now     time.Time // by the clock of the log
	first   int64
	records []entry
	transit []claimer.Record // sent, and not yet in the stream
	tables  [vmsOfRun]*claimer.Table
	next    [vmsOfRun]int64
	pending [vmsOfRun]map[string]claimer.Claim // by id
	minted  []time.Time                        // by number of the key
	sent    map[string]int                     // requests sent, by key
	ids     int
}

func (r *run) replace(v int) {
	r.tables[v] = claimer.NewTable(keep, skew)
	r.next[v] = 1
	r.pending[v] = map[string]claimer.Claim{}
}

// skewed returns the time by a clock that may be wrong by half the skew.
func (r *run) skewed(t *rapid.T) time.Time {
	return r.now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "skew")) * skew / 2)
}

// claim sends a claim of a new or an older key, as Claimer does.
func (r *run) claim(t *rapid.T, v int) {
	if len(r.minted) == 0 || rapid.IntRange(0, 7).Draw(t, "new") == 0 {
		r.minted = append(r.minted, r.skewed(t))
	}
	k := len(r.minted) - 1
	key, minted := fmt.Sprint("key", k), r.minted[k]
	_, held := r.tables[v].Holder(key)
	if held || !r.tables[v].Judges(minted) || r.skewed(t).Sub(minted) > window {
		return
	}
	r.ids++
	c := claimer.Claim{ID: fmt.Sprint("id", r.ids), Key: key, Minted: minted}
	r.pending[v][c.ID] = c
	r.transit = append(r.transit, c)
}

func (r *run) release(c claimer.Claim) {
	r.transit = append(r.transit, claimer.Release{ID: c.ID, Key: c.Key, Minted: c.Minted})
}

// arrive appends a record that was sent; a copy may come later.
func (r *run) arrive(t *rapid.T) {
	if len(r.transit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.transit)-1).Draw(t, "arrives")
	r.records = append(r.records, entry{r.transit[i], r.now})
	if rapid.IntRange(0, 3).Draw(t, "copy") > 0 {
		r.transit = append(r.transit[:i:i], r.transit[i+1:]...)
	}
}

// read gives a VM some records. It sends the request of a claim that is granted,
// or gives it back.
func (r *run) read(t *rapid.T, v int) {
	if r.first > r.next[v] {
		r.tables[v].First(r.first)
		r.next[v] = r.first
	}
	r.next[v] = max(r.first, r.next[v]-int64(rapid.IntRange(0, 1).Draw(t, "again")), 1)
	for n := rapid.IntRange(0, 10).Draw(t, "count"); n > 0 && r.next[v] <= int64(len(r.records)); n-- {
		o := r.next[v]
		r.next[v]++
		e := r.records[o-1]
		if e.record == nil {
			r.tables[v].Skip(o)
			continue
		}
		result := r.tables[v].Apply(o, e.appended, e.record)
		c, ok := e.record.(claimer.Claim)
		if !ok || r.pending[v][c.ID].ID == "" {
			continue
		}
		delete(r.pending[v], c.ID)
		switch {
		case result == claimer.ResultGranted && rapid.IntRange(0, 2).Draw(t, "sends") > 0:
			r.sent[c.Key]++
		case result != claimer.ResultHeld:
			r.release(c)
		}
	}
}

func (r *run) abandon(t *rapid.T, v int) {
	for i := 1; i <= r.ids; i++ {
		c, ok := r.pending[v][fmt.Sprint("id", i)]
		if ok && rapid.Bool().Draw(t, "abandon") {
			delete(r.pending[v], c.ID)
			r.release(c)
		}
	}
}

func (r *run) step(t *rapid.T) {
	v := rapid.IntRange(0, vmsOfRun-1).Draw(t, "vm")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2:
		r.claim(t, v)
	case 3, 4, 5:
		r.arrive(t)
	case 6, 7, 8, 9:
		r.read(t, v)
	case 10, 11:
		r.now = r.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
	case 12:
		r.abandon(t, v)
	case 13:
		r.replace(v)
	case 14:
		if len(r.records) > 0 {
			r.records[rapid.IntRange(0, len(r.records)-1).Draw(t, "corrupt")].record = nil
		}
	case 15:
		r.first = max(r.first, int64(rapid.IntRange(0, len(r.records)+1).Draw(t, "trim")))
	}
}

// TestAtMostOnce runs random claims, delays, copies, releases, replacements,
// losses of old records, corrupt ones and clocks that differ. However they fall
// together, at most one request of each key is sent.
func TestAtMostOnce(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		r := run{now: time.Unix(1e9, 0), first: 1, sent: map[string]int{}}
		for v := range vmsOfRun {
			r.replace(v)
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			r.step(t)
		}
		for k, n := range r.sent {
			sent += n
			if n > 1 {
				t.Fatalf("%d requests of %s were sent", n, k)
			}
		}
	})
	if sent < 100 {
		t.Fatalf("only %d requests were sent in all runs", sent)
	}
}
