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
	window    = 60 * time.Second
	retention = 80 * time.Second
	skew      = 2 * time.Second
	vmCount   = 3
)

// simulation is a random history of one stream, read by the tables of three VMs.
type simulation struct {
	now      time.Time // by the log's clock
	first    int64
	records  []logEntry
	inFlight []claimer.Record // sent but not yet in the stream
	tables   [vmCount]*claimer.Table
	next     [vmCount]int64
	pending  [vmCount]map[string]claimer.Claim // by id
	minted   []time.Time                       // by key number
	sent     map[string]int                    // requests sent, by key
	ids      int
}

func (r *simulation) restartVM(v int) {
	r.tables[v] = claimer.NewTable(retention, skew)
	r.next[v] = 1
	r.pending[v] = map[string]claimer.Claim{}
}

// skewedNow returns the time by a clock that is off by up to half the skew.
func (r *simulation) skewedNow(t *rapid.T) time.Time {
	return r.now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "skew")) * skew / 2)
}

// claim sends a claim of a new key or of the latest one, as Claimer does.
func (r *simulation) claim(t *rapid.T, v int) {
	if len(r.minted) == 0 || rapid.IntRange(0, 7).Draw(t, "new") == 0 {
		r.minted = append(r.minted, r.skewedNow(t))
	}
	k := len(r.minted) - 1
	key, minted := fmt.Sprint("key", k), r.minted[k]
	_, held := r.tables[v].Holder(key)
	if held || !r.tables[v].CompleteFor(minted) || r.skewedNow(t).Sub(minted) > window {
		return
	}
	r.ids++
	c := claimer.Claim{ID: fmt.Sprint("id", r.ids), Key: key, Minted: minted}
	r.pending[v][c.ID] = c
	r.inFlight = append(r.inFlight, c)
}

func (r *simulation) release(c claimer.Claim) {
	r.inFlight = append(r.inFlight, claimer.Release{ID: c.ID, Key: c.Key, Minted: c.Minted})
}

// deliver appends a record in flight; a duplicate may follow later.
func (r *simulation) deliver(t *rapid.T) {
	if len(r.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "arrives")
	r.records = append(r.records, logEntry{r.inFlight[i], r.now})
	if rapid.IntRange(0, 3).Draw(t, "copy") > 0 {
		r.inFlight = append(r.inFlight[:i:i], r.inFlight[i+1:]...)
	}
}

// read applies some records at a VM. If one of its claims is granted, the VM sends
// the request or releases the claim.
func (r *simulation) read(t *rapid.T, v int) {
	if r.first > r.next[v] {
		r.tables[v].SetFirstOffset(r.first)
		r.next[v] = r.first
	}
	r.next[v] = max(r.first, r.next[v]-int64(rapid.IntRange(0, 1).Draw(t, "again")), 1)
	for n := rapid.IntRange(0, 10).Draw(t, "count"); n > 0 && r.next[v] <= int64(len(r.records)); n-- {
		o := r.next[v]
		r.next[v]++
		e := r.records[o-1]
		if e.record == nil {
			r.tables[v].SkipUndecodable(o)
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

func (r *simulation) abandon(t *rapid.T, v int) {
	for i := 1; i <= r.ids; i++ {
		c, ok := r.pending[v][fmt.Sprint("id", i)]
		if ok && rapid.Bool().Draw(t, "abandon") {
			delete(r.pending[v], c.ID)
			r.release(c)
		}
	}
}

func (r *simulation) step(t *rapid.T) {
	v := rapid.IntRange(0, vmCount-1).Draw(t, "vm")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2:
		r.claim(t, v)
	case 3, 4, 5:
		r.deliver(t)
	case 6, 7, 8, 9:
		r.read(t, v)
	case 10, 11:
		r.now = r.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
	case 12:
		r.abandon(t, v)
	case 13:
		r.restartVM(v)
	case 14:
		if len(r.records) > 0 {
			r.records[rapid.IntRange(0, len(r.records)-1).Draw(t, "corrupt")].record = nil
		}
	case 15:
		r.first = max(r.first, int64(rapid.IntRange(0, len(r.records)+1).Draw(t, "trim")))
	}
}

// TestAtMostOneRequestPerKey checks that at most one request per key is sent under
// random claims, delays, duplicates, releases, VM replacements, removed old records,
// corrupt records and clock skew.
func TestAtMostOneRequestPerKey(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		r := simulation{now: time.Unix(1e9, 0), first: 1, sent: map[string]int{}}
		for v := range vmCount {
			r.restartVM(v)
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
