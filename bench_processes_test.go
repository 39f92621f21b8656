package main_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// What BenchmarkProcesses measures. docs/MEASURES-CONFIGURATION.md has the figures.
const (
	benchChanges  = 60                     // changes one after another
	benchSpacing  = 100 * time.Millisecond // from one in force to the next
	benchBurst    = 50                     // changes at once
	benchFiles    = 440                    // files in force when a VM starts
	benchStarts   = 5
	benchSettle   = 8 * time.Second // from the last job running to the measure
	benchInterval = 10 * time.Second
	benchPoll     = 2 * time.Millisecond  // between two looks at a revision
	benchTick     = 10 * time.Millisecond // of the times in /proc/PID/stat
)

// benchT lets testscript run within a benchmark. What is logged is shown only when
// the script fails.
type benchT struct {
	*testing.B
	inner *testing.B
	log   []any
}

func (t *benchT) Run(name string, f func(testscript.T)) {
	t.B.Run(name, func(b *testing.B) { t.inner = b; f(&benchT{B: b}) })
}
func (t *benchT) Parallel()     {}
func (t *benchT) Verbose() bool { return false }
func (t *benchT) Log(a ...any)  { t.log = append(t.log, a...) }
func (t *benchT) FailNow()      { t.B.Log(t.log...); t.B.FailNow() }

// BenchmarkProcesses measures real processes: go test . -run '^$' -bench Processes
// -benchtime 1x. It takes some minutes.
func BenchmarkProcesses(b *testing.B) {
	b.Run("in-force", func(b *testing.B) { script(b, inForce) })
	b.Run("start", func(b *testing.B) { script(b, starts) })
	for _, c := range [][3]int{{2, 80, 0}, {4, 80, 0}, {8, 80, 0}, {4, 40, 0}, {4, 160, 0}, {4, 40, 1}, {4, 40, 5}} {
		b.Run(fmt.Sprintf("control/vms=%d/workers=%d/changes=%d", c[0], c[1], c[2]), func(b *testing.B) {
			script(b, func(b *testing.B, t *testscript.TestScript) { controlCost(b, t, c[0], c[1], c[2]) })
		})
	}
}

// script runs f as the only command of a script, with a log and a list started.
func script(b *testing.B, f func(*testing.B, *testscript.TestScript)) {
	dir := b.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "measure.txtar"), []byte("measure\n"), 0o600); err != nil {
		b.Fatal(err)
	}
	p, k := params(dir), &benchT{B: b}
	p.Cmds["measure"] = func(t *testscript.TestScript, _ bool, _ []string) {
		cmdStart(t, false, []string{"log", "stand-in", "log"})
		cmdStart(t, false, []string{"list", "stand-in", "list"})
		f(k.inner, t)
	}
	testscript.RunT(k, p)
}

func names(n int) []string {
	var v []string
	for i := range n {
		v = append(v, fmt.Sprintf("e%d", i+1))
	}
	return v
}

func quantile(v []time.Duration, q float64) float64 {
	slices.Sort(v)
	return float64(v[min(len(v)-1, int(q*float64(len(v))))]) / float64(time.Millisecond)
}

func statusOf(t *testscript.TestScript, vm string) (responder.StatusResponse, error) {
	var s responder.StatusResponse
	x := request(t, http.MethodGet, "http://"+t.Getenv(vm)+"/-/status", "", "Authorization: Bearer "+operatorKey)
	return s, errors.Join(x.err(), json.Unmarshal([]byte(x.body), &s))
}

// until waits for a condition on the status of each VM, all watched at once, and
// returns when it held on the last.
func until(t *testscript.TestScript, vms []string, ok func(responder.StatusResponse) bool) time.Time {
	var g sync.WaitGroup
	from := time.Now()
	for _, vm := range vms {
		g.Go(func() {
			for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(benchPoll) {
				if s, err := statusOf(t, vm); err == nil && ok(s) {
					return
				}
			}
		})
	}
	g.Wait()
	if time.Since(from) > deadline {
		t.Fatalf("the VMs %v never came to a condition", vms)
	}
	return time.Now()
}

// change publishes new files of an organisation each, and returns the revision.
func change(t *testscript.TestScript, vm string, organisations ...string) int64 {
	c := publisher.Change{ID: fmt.Sprintf("%s-%d", organisations[0], time.Now().UnixNano()), Created: time.Now()}
	for _, o := range organisations {
		c.Files = append(c.Files, publisher.FileChange{Name: o + ".toml", Content: "[organisation." + o + "]\nweight = 7\n"})
	}
	b, err := json.Marshal(c)
	t.Check(err)
	x := request(t, http.MethodPost, "http://"+t.Getenv(vm)+publisher.PathChanges, string(b), "Authorization: Bearer "+operatorKey)
	var a struct {
		Offset int64 `json:"offset"`
	}
	t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &a)))
	return a.Offset
}

// inForce measures the time from sending a change until the last of 8 VMs has it.
func inForce(b *testing.B, t *testscript.TestScript) {
	vms := names(8)
	for _, v := range vms {
		cmdEntry(t, false, []string{v, "zone-a"})
	}
	until(t, vms, func(s responder.StatusResponse) bool { return len(s.Live) == len(vms) })
	var one []time.Duration
	for i := range benchChanges {
		at := time.Now()
		n := change(t, vms[i%8], fmt.Sprintf("one-%d", i))
		one = append(one, until(t, vms, func(s responder.StatusResponse) bool { return s.ConfigRevision >= n }).Sub(at))
		time.Sleep(benchSpacing)
	}
	burst := burstInForce(t, vms)
	b.ReportMetric(quantile(one, 0.5), "spaced-p50-ms")
	b.ReportMetric(quantile(one, 0.99), "spaced-p99-ms")
	b.ReportMetric(quantile(burst, 0.5), "burst-p50-ms")
	b.ReportMetric(quantile(burst, 0.99), "burst-p99-ms")
}

// burstInForce makes changes at once, and returns the time from their beginning until
// each was in force on the last VM. The offsets of the changes are adjacent.
func burstInForce(t *testscript.TestScript, vms []string) []time.Duration {
	before, err := statusOf(t, vms[0])
	t.Check(err)
	burst := make([]time.Duration, benchBurst)
	var mu sync.Mutex
	var g sync.WaitGroup
	at := time.Now()
	for i := range benchBurst {
		g.Go(func() { change(t, vms[i%len(vms)], fmt.Sprintf("burst-%d", i)) })
	}
	for _, v := range vms {
		seen := 0
		g.Go(func() {
			until(t, []string{v}, func(s responder.StatusResponse) bool {
				mu.Lock()
				defer mu.Unlock()
				for ; seen < min(benchBurst, int(s.ConfigRevision-before.ConfigRevision)); seen++ {
					burst[seen] = max(burst[seen], time.Since(at))
				}
				return seen == benchBurst
			})
		})
	}
	g.Wait()
	return burst
}

// starts measures the time from starting a VM until it is ready: with the log, and
// from another VM while the log is down.
func starts(b *testing.B, t *testscript.TestScript) {
	cmdEntry(t, false, []string{"e1", "zone-a"})
	ready := func(s responder.StatusResponse) bool { return s.Ready }
	until(t, names(1), func(s responder.StatusResponse) bool { return s.Leader == "e1" })
	var organisations []string
	for i := range benchFiles {
		organisations = append(organisations, fmt.Sprintf("o-%d", i))
	}
	change(t, "e1", organisations...)
	for _, from := range []string{"log", "peer"} {
		if from == "peer" {
			cmdControl(t, false, []string{"log", `{"down":true}`})
			until(t, names(1), func(s responder.StatusResponse) bool { return !s.LogUp })
		}
		var v []time.Duration
		for i := range benchStarts {
			name := fmt.Sprintf("%s-%d", from, i)
			at := time.Now()
			cmdEntry(t, false, []string{name, "zone-b"})
			v = append(v, until(t, []string{name}, ready).Sub(at))
		}
		b.ReportMetric(quantile(v, 0.5), from+"-p50-ms")
		b.ReportMetric(quantile(v, 1), from+"-max-ms")
	}
}

// controlCost measures the bytes that pass the links of the VMs and their processor
// time, with 29 tasks on each worker. A byte between two VMs counts for both.
func controlCost(b *testing.B, t *testscript.TestScript, vms, workers, changes int) {
	all := names(vms)
	for i := range workers {
		w := fmt.Sprintf("w%d", i)
		cmdStart(t, false, []string{w, "stand-in", "worker", "--id", w, "--rack", fmt.Sprintf("r%d", i/8), "--list", t.Getenv("list")})
	}
	for end := time.Now().Add(deadline); len(listed(t)) < workers && time.Now().Before(end); time.Sleep(pollInterval) {
	}
	for _, v := range all {
		cmdLinked(t, false, append([]string{v, "zone-a"}, slices.DeleteFunc(slices.Clone(all), func(p string) bool { return p == v })...))
	}
	until(t, all, func(s responder.StatusResponse) bool { return len(s.Live) == vms && s.Leader != "" })
	t.Check(os.WriteFile(t.MkAbs("labels.toml"), []byte("[organisation.etiquetar]\nkey-hashes = [\"$CALLER_KEY_HASH\"]\n[service.labels]\norganisation = \"etiquetar\"\n"), 0o600))
	cmdPublish(t, false, []string{"e1", "labels.toml"})
	until(t, all, func(s responder.StatusResponse) bool { return s.ConfigRevision > 0 })
	for i := range workers {
		job := fmt.Sprintf(`{"id":"j%d","service":"labels","tasks":29,"accelerators":0,"adjacency":"worker"}`, i)
		t.Check(request(t, http.MethodPost, "http://$e1/-/jobs", job, "Authorization: Bearer "+callerKey).err())
	}
	until(t, all[:1], func(s responder.StatusResponse) bool {
		n := 0
		for _, w := range s.Workers {
			n += w.Leases
		}
		return n >= 29*workers || !s.Leading
	})
	time.Sleep(benchSettle)
	peers, others, used := costs(t, all)
	at := time.Now()
	for i := 0; time.Since(at) < benchInterval; i++ {
		if changes > 0 {
			change(t, "e1", fmt.Sprintf("c-%d", i))
		}
		time.Sleep(benchInterval / time.Duration(max(10, 10*changes)))
	}
	seconds := time.Since(at).Seconds()
	p, o, u := costs(t, all)
	b.ReportMetric(2*float64(p-peers)/seconds/float64(vms), "peer-B/s/VM")
	b.ReportMetric(float64(o[0]-others[0])/seconds/float64(vms), "log-and-list-B/s/VM")
	b.ReportMetric(float64(o[1]-others[1])/seconds/float64(workers), "renewal-B/s/worker")
	b.ReportMetric(100*(u-used).Seconds()/seconds/float64(vms), "%core/VM")
}

// costs returns the bytes that passed between VMs, those to and from log and list, and
// workers, and the processor time of the VMs, all since their start.
func costs(t *testscript.TestScript, vms []string) (peers int64, others [2]int64, used time.Duration) {
	for _, v := range vms {
		var n map[string][2]int64
		x := request(t, http.MethodGet, "http://"+t.Getenv(v+"-link")+"/bytes", "")
		t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &n)))
		for r, c := range n {
			switch {
			case slices.Contains(vms, r):
				peers += c[0] + c[1]
			case r == "log" || r == "list":
				others[0] += c[0] + c[1]
			default:
				others[1] += c[0] + c[1]
			}
		}
		s, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", processesOf(t).byName[v].cmd.Process.Pid))
		t.Check(err)
		_, rest, _ := strings.Cut(string(s), ") ") // the fields from the third on
		for _, f := range strings.Fields(rest)[11:13] {
			k, err := strconv.ParseInt(f, 10, 64)
			t.Check(err)
			used += time.Duration(k) * benchTick
		}
	}
	return peers, others, used
}
