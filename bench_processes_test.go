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

// Parameters of BenchmarkProcesses. docs/MEASURES-CONFIGURATION.md lists its results.
const (
	benchChanges  = 60                     // sequential changes
	benchSpacing  = 100 * time.Millisecond // between a change taking effect and the next change
	benchBurst    = 50                     // concurrent changes
	benchFiles    = 440                    // configuration files in force when a VM starts
	benchStarts   = 5
	benchSettle   = 8 * time.Second // between the start of the last job and the measurement
	benchInterval = 10 * time.Second
	benchPoll     = 2 * time.Millisecond  // between polls of the status
	benchTick     = 10 * time.Millisecond // unit of the times in /proc/PID/stat
)

// benchT adapts testing.B to testscript.T. The log is printed only if the script fails.
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

// BenchmarkProcesses measures latencies and the cost of control traffic on real processes.
// It takes some minutes: go test . -run '^$' -bench Processes -benchtime 1x.
func BenchmarkProcesses(b *testing.B) {
	b.Run("in-force", func(b *testing.B) { runBenchScript(b, measureChangeLatency) })
	b.Run("start", func(b *testing.B) { runBenchScript(b, measureStartLatency) })
	for _, c := range [][3]int{{2, 80, 0}, {4, 80, 0}, {8, 80, 0}, {4, 40, 0}, {4, 160, 0}, {4, 40, 1}, {4, 40, 5}} {
		b.Run(fmt.Sprintf("control/vms=%d/workers=%d/changes=%d", c[0], c[1], c[2]), func(b *testing.B) {
			runBenchScript(b, func(b *testing.B, t *testscript.TestScript) { measureControlCost(b, t, c[0], c[1], c[2]) })
		})
	}
}

// runBenchScript runs f as the command of a script that has started a log and a list.
func runBenchScript(b *testing.B, f func(*testing.B, *testscript.TestScript)) {
	dir := b.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "measure.txtar"), []byte("measure\n"), 0o600); err != nil {
		b.Fatal(err)
	}
	p, k := scriptParams(dir), &benchT{B: b}
	p.Cmds["measure"] = func(t *testscript.TestScript, _ bool, _ []string) {
		cmdStart(t, false, []string{"log", "stand-in", "log"})
		cmdStart(t, false, []string{"list", "stand-in", "list"})
		f(k.inner, t)
	}
	testscript.RunT(k, p)
}

func vmNames(n int) []string {
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

// waitForStatus polls the status of all VMs concurrently until a condition has held on each,
// and returns the time at which it held on the last.
func waitForStatus(t *testscript.TestScript, vms []string, ok func(responder.StatusResponse) bool) time.Time {
	var g sync.WaitGroup
	from := time.Now()
	for _, vm := range vms {
		g.Go(func() {
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(benchPoll) {
				if s, err := statusOf(t, vm); err == nil && ok(s) {
					return
				}
			}
		})
	}
	g.Wait()
	if time.Since(from) > waitTimeout {
		t.Fatalf("the VMs %v did not reach the condition before the timeout", vms)
	}
	return time.Now()
}

// publishChange publishes a new file for each organisation in one change and returns the
// revision.
func publishChange(t *testscript.TestScript, vm string, organisations ...string) int64 {
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

// measureChangeLatency measures the time from sending a change until it is in force on all
// 8 VMs, for sequential and for concurrent changes.
func measureChangeLatency(b *testing.B, t *testscript.TestScript) {
	vms := vmNames(8)
	for _, v := range vms {
		cmdEntry(t, false, []string{v, "zone-a"})
	}
	waitForStatus(t, vms, func(s responder.StatusResponse) bool { return len(s.Live) == len(vms) })
	var spaced []time.Duration
	for i := range benchChanges {
		at := time.Now()
		n := publishChange(t, vms[i%8], fmt.Sprintf("one-%d", i))
		spaced = append(spaced, waitForStatus(t, vms, func(s responder.StatusResponse) bool { return s.ConfigRevision >= n }).Sub(at))
		time.Sleep(benchSpacing)
	}
	burst := measureBurstLatency(t, vms)
	b.ReportMetric(quantile(spaced, 0.5), "spaced-p50-ms")
	b.ReportMetric(quantile(spaced, 0.99), "spaced-p99-ms")
	b.ReportMetric(quantile(burst, 0.5), "burst-p50-ms")
	b.ReportMetric(quantile(burst, 0.99), "burst-p99-ms")
}

// measureBurstLatency publishes changes concurrently and returns for each the time from the
// start of the burst until it was in force on all VMs. The changes have consecutive offsets.
func measureBurstLatency(t *testscript.TestScript, vms []string) []time.Duration {
	before, err := statusOf(t, vms[0])
	t.Check(err)
	burst := make([]time.Duration, benchBurst)
	var mu sync.Mutex
	var g sync.WaitGroup
	at := time.Now()
	for i := range benchBurst {
		g.Go(func() { publishChange(t, vms[i%len(vms)], fmt.Sprintf("burst-%d", i)) })
	}
	for _, v := range vms {
		seen := 0
		g.Go(func() {
			waitForStatus(t, []string{v}, func(s responder.StatusResponse) bool {
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

// measureStartLatency measures the time from starting a VM until it is ready, when it reads
// the configuration from the log and, while the log is down, from another VM.
func measureStartLatency(b *testing.B, t *testscript.TestScript) {
	cmdEntry(t, false, []string{"e1", "zone-a"})
	ready := func(s responder.StatusResponse) bool { return s.Ready }
	waitForStatus(t, vmNames(1), func(s responder.StatusResponse) bool { return s.Leader == "e1" })
	var organisations []string
	for i := range benchFiles {
		organisations = append(organisations, fmt.Sprintf("o-%d", i))
	}
	publishChange(t, "e1", organisations...)
	for _, from := range []string{"log", "peer"} {
		if from == "peer" {
			cmdControl(t, false, []string{"log", `{"down":true}`})
			waitForStatus(t, vmNames(1), func(s responder.StatusResponse) bool { return !s.LogUp })
		}
		var v []time.Duration
		for i := range benchStarts {
			name := fmt.Sprintf("%s-%d", from, i)
			at := time.Now()
			cmdEntry(t, false, []string{name, "zone-b"})
			v = append(v, waitForStatus(t, []string{name}, ready).Sub(at))
		}
		b.ReportMetric(quantile(v, 0.5), from+"-p50-ms")
		b.ReportMetric(quantile(v, 1), from+"-max-ms")
	}
}

// measureControlCost measures the bytes on the links of the VMs and their CPU time, with 29
// tasks on each worker. A byte between two VMs counts for both.
func measureControlCost(b *testing.B, t *testscript.TestScript, vms, workers, changes int) {
	all := vmNames(vms)
	for i := range workers {
		w := fmt.Sprintf("w%d", i)
		cmdStart(t, false, []string{w, "stand-in", "worker", "--id", w, "--rack", fmt.Sprintf("r%d", i/8), "--list", t.Getenv("list")})
	}
	for end := time.Now().Add(waitTimeout); len(listedVMs(t)) < workers && time.Now().Before(end); time.Sleep(pollInterval) {
	}
	for _, v := range all {
		cmdLinked(t, false, append([]string{v, "zone-a"}, slices.DeleteFunc(slices.Clone(all), func(p string) bool { return p == v })...))
	}
	waitForStatus(t, all, func(s responder.StatusResponse) bool { return len(s.Live) == vms && s.Leader != "" })
	t.Check(os.WriteFile(t.MkAbs("labels.toml"), []byte("[organisation.etiquetar]\nkey-hashes = [\"$CALLER_KEY_HASH\"]\n[service.labels]\norganisation = \"etiquetar\"\n"), 0o600))
	cmdPublish(t, false, []string{"e1", "labels.toml"})
	waitForStatus(t, all, func(s responder.StatusResponse) bool { return s.ConfigRevision > 0 })
	for i := range workers {
		job := fmt.Sprintf(`{"id":"j%d","service":"labels","tasks":29,"accelerators":0,"adjacency":"worker"}`, i)
		t.Check(request(t, http.MethodPost, "http://$e1/-/jobs", job, "Authorization: Bearer "+callerKey).err())
	}
	waitForStatus(t, all[:1], func(s responder.StatusResponse) bool {
		n := 0
		for _, w := range s.Workers {
			n += w.Leases
		}
		return n >= 29*workers || !s.Leading
	})
	time.Sleep(benchSettle)
	peersBefore, othersBefore, cpuBefore := readCosts(t, all)
	at := time.Now()
	for i := 0; time.Since(at) < benchInterval; i++ {
		if changes > 0 {
			publishChange(t, "e1", fmt.Sprintf("c-%d", i))
		}
		time.Sleep(benchInterval / time.Duration(max(10, 10*changes)))
	}
	seconds := time.Since(at).Seconds()
	p, o, u := readCosts(t, all)
	b.ReportMetric(2*float64(p-peersBefore)/seconds/float64(vms), "peer-B/s/VM")
	b.ReportMetric(float64(o[0]-othersBefore[0])/seconds/float64(vms), "log-and-list-B/s/VM")
	b.ReportMetric(float64(o[1]-othersBefore[1])/seconds/float64(workers), "renewal-B/s/worker")
	b.ReportMetric(100*(u-cpuBefore).Seconds()/seconds/float64(vms), "%core/VM")
}

// readCosts returns, since the start of the VMs, the bytes between them, the bytes to and
// from [0] the log and list and [1] workers, and the CPU time of the VMs.
func readCosts(t *testscript.TestScript, vms []string) (peerBytes int64, otherBytes [2]int64, cpuTime time.Duration) {
	for _, v := range vms {
		var n map[string][2]int64
		x := request(t, http.MethodGet, "http://"+t.Getenv(v+"-link")+"/bytes", "")
		t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &n)))
		for r, c := range n {
			switch {
			case slices.Contains(vms, r):
				peerBytes += c[0] + c[1]
			case r == "log" || r == "list":
				otherBytes[0] += c[0] + c[1]
			default:
				otherBytes[1] += c[0] + c[1]
			}
		}
		s, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", processesOf(t).byName[v].cmd.Process.Pid))
		t.Check(err)
		_, rest, _ := strings.Cut(string(s), ") ") // fields from the third on
		for _, f := range strings.Fields(rest)[11:13] {
			k, err := strconv.ParseInt(f, 10, 64)
			t.Check(err)
			cpuTime += time.Duration(k) * benchTick
		}
	}
	return peerBytes, otherBytes, cpuTime
}
