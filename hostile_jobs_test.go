package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// Limits of the VMs in the attack on several, those of the smallest and the largest VM of the
// deployments.
const (
	smallestMemoryMB, smallestMaxFDs = 144, 3075
	largestMemoryMB, largestMaxFDs   = 536, 8192
)

const (
	hostileJobTime  = 20 * time.Second // after which a client sends no more jobs; no check depends on it
	hostileMaxSpec  = 4000             // bytes
	hostileLabel    = 200_000          // bytes
	hostileSteps    = 256
	hostileJobPause = 10 * time.Millisecond // after a refusal
)

// jobCrowd is a number of clients that submit whole jobs, each one after the other.
type jobCrowd struct {
	name          string
	clients, jobs int // of each client
	job           string
	cancel        bool // each accepted job is cancelled at once
}

var jobCrowds = []jobCrowd{
	{"largest-specs-of-the-body-limit", 20, 200, platformstandin.Job(strings.Repeat("s", hostileMaxBody-200), 1, false), false},
	{"largest-specs", 20, 1500, platformstandin.Job(strings.Repeat("s", hostileMaxSpec), 1, false), false},
	{"largest-specs-cancelled", 20, 1500, platformstandin.Job(strings.Repeat("s", hostileMaxSpec), 1, false), true},
	{"smallest-jobs", 20, 4000, `{"steps":[{"count":1}]}`, false},
	{"long-labels", 20, 200, `{"spec":"10ms","steps":[{"count":1,"requirements":"` + strings.Repeat("l", hostileLabel) + `"}]}`, false},
	{"many-steps", 20, 1500, manySteps(`{"count":1}`, ""), false},
	{"many-tasks", 20, 100, manySteps(`{"count":10000}`, ""), false},
	{"many-tasks-of-one-step", 20, 10, `{"spec":"10ms","steps":[{"count":10000}]}`, false},
	{"many-occurrences", 20, 100, manySteps(`{"count":1}`, `,"repeatCount":1000,"startAtMs":1,"intervalMs":1`), false},
	{"many-tasks-of-many-occurrences", 20, 100, manySteps(`{"count":100}`, `,"repeatCount":1000,"startAtMs":4000000000000,"intervalMs":1`), false},
}

// manySteps returns a job with as many equal steps as a job may have.
func manySteps(step, fields string) string {
	return `{"spec":"10ms","steps":[` + step + strings.Repeat(","+step, hostileSteps-1) + `]` + fields + `}`
}

// Guards against accepted jobs, each of legal size, that together exceed the memory of the VM
// that accepts them and leads.
func TestHostileJobsOfOneVM(t *testing.T) {
	for _, c := range jobCrowds {
		t.Run(c.name, func(t *testing.T) {
			store := fastStore()
			v := startVMOfStore(t, "vm0", store, hostileMemoryMB, hostileMaxFDs)
			check := sampleHostile(t, v.process.Process.Pid, v.callers, hostileMemoryMB, hostileMaxFDs)
			r := c.run(v)
			time.Sleep(hostileHold)
			check()
			r.checkAfterwards(t, store, v)
		})
	}
}

// Guards against jobs that fit on the VM that accepts them and not on the others: every VM keeps
// every job, and any may lead.
func TestHostileJobsOfSeveralVMs(t *testing.T) {
	for _, c := range jobCrowds {
		t.Run(c.name, func(t *testing.T) {
			store := fastStore()
			small := startVMOfStore(t, "vm0", store, smallestMemoryMB, smallestMaxFDs) // leads
			large := startVMOfStore(t, "vm1", store, largestMemoryMB, largestMaxFDs)
			checkSmall := sampleHostile(t, small.process.Process.Pid, small.callers, smallestMemoryMB, smallestMaxFDs)
			checkLarge := sampleHostile(t, large.process.Process.Pid, large.callers, largestMemoryMB, largestMaxFDs)
			r := c.run(large)
			time.Sleep(hostileHold)
			checkSmall()
			checkLarge()
			r.checkAfterwards(t, store, small, large)
		})
	}
}

// fastStore returns a store that keeps as much as the platform's and is faster, so that a test
// takes seconds.
func fastStore() *platformstandin.Store {
	l := platformstandin.PlatformLimits()
	return platformstandin.NewLimitedStore(platformstandin.Limits{Keep: l.Keep, PartMB: l.PartMB, TotalMB: l.TotalMB})
}

// crowdResult is what the clients of a crowd were answered.
type crowdResult struct {
	mu                sync.Mutex
	accepted, refused []string // paths; refused by any status that says that the job never runs
	answers           map[int]int
}

// run lets the clients submit jobs through a VM.
func (c jobCrowd) run(v *hostileVM) *crowdResult {
	r := &crowdResult{answers: map[int]int{}}
	var clients sync.WaitGroup
	end := time.Now().Add(hostileJobTime)
	for i := range c.clients {
		clients.Go(func() {
			client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; n < c.jobs && time.Now().Before(end); n++ {
				path := fmt.Sprintf("/slow/%016x", (i+1)<<32+n)
				status, _ := platformstandin.Call(client, http.MethodPost, v.callers, path, platformstandin.Key, c.job)
				r.note(status, path)
				if status == http.StatusOK && c.cancel {
					_, _ = platformstandin.Call(client, http.MethodDelete, v.callers, path, platformstandin.Key, "")
				}
				if status != http.StatusOK {
					time.Sleep(hostileJobPause)
				}
			}
		})
	}
	clients.Wait()
	v.t.Logf("answers by status: %v", r.answers)
	return r
}

func (r *crowdResult) note(status int, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[status]++
	switch status {
	case http.StatusOK:
		r.accepted = append(r.accepted, path)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.refused = append(r.refused, path)
	}
}

// checkAfterwards checks that the VMs serve what is accepted and the jobs of another organisation,
// and that what they refused is not stored.
func (r *crowdResult) checkAfterwards(t *testing.T, store *platformstandin.Store, vms ...*hostileVM) {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i, v := range vms {
		call := func(method, path, key, body string) int {
			status, _ := platformstandin.Call(client, method, v.callers, path, key, body)
			return status
		}
		if len(r.accepted) > 0 {
			path := r.accepted[len(r.accepted)*i/len(vms)]
			v.waitUntil("the state of an accepted job is returned", func() bool {
				return call(http.MethodGet, path, platformstandin.Key, "") == http.StatusOK
			})
			v.waitUntil("an accepted job is cancelled", func() bool {
				return call(http.MethodDelete, path, platformstandin.Key, "") == http.StatusOK
			})
		}
		path := fmt.Sprintf("/fast/%016x", i+1)
		v.waitUntil("a job of another organisation is accepted", func() bool {
			return call(http.MethodPost, path, hostileOtherKey, platformstandin.Job("10ms", 1, false)) == http.StatusOK
		})
		v.waitUntil("the VM is ready", func() bool {
			return soakCall(http.MethodGet, v.readiness, "/ready", "").status == http.StatusOK
		})
	}
	if i := slices.IndexFunc(r.refused, func(path string) bool {
		return store.Get("keyed.jobs", "job/"+path[len("/slow/"):]) != nil
	}); i >= 0 {
		t.Errorf("the job %s was refused and is stored", r.refused[i])
	}
}

// Guards against stored jobs that no VM can read when it starts: all that have ended lately are in
// its first snapshot.
func TestHostileStoredJobsAreReadAtTheStart(t *testing.T) {
	store := fastStore()
	leader := startVMOfStore(t, "vm0", store, smallestMemoryMB, smallestMaxFDs)
	limit := leader.metric("jobs-stored-limit-bytes")
	job, now := `"spec":"`+strings.Repeat("s", hostileMaxSpec)+`","steps":[{"tasks":1,"need":{}}]}`, time.Now().UnixMilli()
	size := 0
	for i := 0; size < limit; i++ {
		id := fmt.Sprintf("%016x", i+1)
		value := `{"id":"` + id + `","queue":"slow","organisation":"o",` + job
		store.Put("keyed.jobs", "job/"+id, []byte(value))
		store.Put("keyed.progress", id, fmt.Appendf(nil, `{"state":"completed","ended-ms":%d}`, now))
		size += len("job/"+id) + len(value)
	}
	next := startVMOfStore(t, "vm1", store, smallestMemoryMB, smallestMaxFDs)
	check := sampleHostile(t, next.process.Process.Pid, next.callers, smallestMemoryMB, smallestMaxFDs)
	next.waitUntil("the first job is known", func() bool {
		return soakCall(http.MethodGet, next.callers, "/slow/0000000000000001", "").status == http.StatusOK
	})
	time.Sleep(hostileHold)
	check()
}

// metric returns the value of a metric of the VM.
func (v *hostileVM) metric(name string) int {
	_, text := platformstandin.Call(http.DefaultClient, http.MethodGet, v.metrics, "/metrics", "", "")
	var m struct {
		Counters map[string]int `json:"counters"`
	}
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		v.t.Fatal(err)
	}
	return m.Counters[name]
}
