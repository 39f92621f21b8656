package assembler_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// workloadConfig is a configuration with a queue that needs placement advice and with a
// standby pool.
const workloadConfig = `{"version":2,"routes":[
	{"name":"slow","host":"h.example","pathPrefix":"/slow/","service":"s","priority":1,"maxAttempts":9,"stretch":3,"targetLatencyMs":1000},
	{"name":"told","host":"h.example","pathPrefix":"/told/","service":"s","priority":1,"maxAttempts":9,"stretch":3,"targetLatencyMs":1000,
		"advice":{"decideMs":5,"periodMs":1}}],
	"services":[{"name":"s"},{"name":"z","standby":true}],
	"limits":{"maxBodyBytes":10000},"tenants":[{"name":"o","apiKeys":["key"],"guaranteed":{"gpu":8}}]}`

func newWorkloadCluster(t *testing.T, executors, vms int) *cluster {
	t.Helper()
	t.Parallel()
	s := newCluster(t, executors, 0)
	s.store.Put("keyed.op", "config", []byte(workloadConfig))
	for i := range vms {
		s.startVM(fmt.Sprintf("vm%d", i))
	}
	return s
}

// submit submits a job with one step; step and job are JSON fields.
func (s *cluster) submit(path, id, spec, step, job string) {
	s.t.Helper()
	status, body := s.vms[0].call(http.MethodPost, path+id, "key", fmt.Sprintf(`{"spec":%q,"steps":[{%s}]%s}`, spec, step, job))
	if status != http.StatusOK {
		s.t.Fatalf("submit: %d %s", status, body)
	}
}

// running returns the number of running tasks of all executors.
func (s *cluster) running() int {
	n := 0
	for _, x := range s.executors {
		n += len(x.Running())
	}
	return n
}

// replaceLeader starts another VM and shuts down the first one, which is the leader.
func (s *cluster) replaceLeader() {
	s.startVM("next")
	s.vms[0].cancel()
	<-s.vms[0].done
	s.vms = s.vms[1:]
}

// A new leader must continue with the remaining occurrences, without repeating or skipping
// one.
func TestRecurringJobContinuesUnderNewLeader(t *testing.T) {
	is := is.New(t)
	s := newWorkloadCluster(t, 1, 1)
	due := time.Now().Add(time.Second)
	s.submit("/slow/", jobID, "50ms", `"count":1,"gpu":1,"estimateMs":50`,
		fmt.Sprintf(`,"repeatCount":3,"startAtMs":%d,"intervalMs":2500`, due.UnixMilli()))
	s.waitFor("the first occurrence has run", func() bool { return len(s.executors[0].Starts()) == 1 })
	is.True(!time.Now().Before(due))
	s.replaceLeader()
	s.waitFor("the job is completed", func() bool { return s.vms[0].state(jobID) == "completed" })
	is.Equal(s.executors[0].Starts(), []string{jobID + ".0.0.0", jobID + ".1.0.0", jobID + ".2.0.0"})
}

func TestLongRunningTaskRestartsAfterExecutorRestart(t *testing.T) {
	is := is.New(t)
	s := newWorkloadCluster(t, 1, 1)
	s.submit("/slow/", jobID, "2h", `"count":2,"gpu":1,"longRunning":true,"missAllowed":1`, "")
	s.waitFor("both tasks run", func() bool { return s.running() == 2 })
	s.executors[0].Restart() // it keeps its id
	s.listExecutor(0, "x0", "s")
	s.waitFor("both tasks run again", func() bool { return s.running() == 2 })
	s.replaceLeader()
	status, _ := s.vms[0].call(http.MethodDelete, "/slow/"+jobID, "key", "")
	is.Equal(status, http.StatusOK)
	s.waitFor("nothing runs", func() bool { return s.running() == 0 })
}

// A long-running task must be restarted even while the store is unavailable.
func TestLongRunningTaskRestartsDuringStoreOutage(t *testing.T) {
	s := newWorkloadCluster(t, 2, 1)
	s.submit("/slow/", jobID, "2h", `"count":1,"gpu":1,"longRunning":true,"missAllowed":1`, "")
	s.waitFor("the task runs", func() bool { return s.running() == 1 })
	s.vms[0].storeProxy.Unavailable.Store(true)
	busy := slices.IndexFunc(s.executors, func(x *standin.Executor) bool { return len(x.Running()) == 1 })
	s.executors[busy].Restart()
	s.waitFor("the task runs again", func() bool { return s.running() == 1 })
	s.vms[0].storeProxy.Unavailable.Store(false)
}

// A filler task must start slowly, speed up while the tail latency of the serving task is
// below its target, and be halted once it is above.
func TestFillerIsThrottledBesideServingTask(t *testing.T) {
	is := is.New(t)
	s := newWorkloadCluster(t, 1, 0)
	const fillerID = "00000000000000b2"
	x := s.executors[0]
	tail := make(chan int, 1) // tail latency of the serving task in milliseconds
	tail <- 20
	x.Measure = func(task string, _ int) int {
		if !strings.HasPrefix(task, jobID) {
			return 1000
		}
		n := <-tail
		tail <- n
		return n
	}
	setTail := func(n int) {
		<-tail
		tail <- n
	}
	s.startVM("vm0")
	pace := func() int { return x.Paces()[fillerID+".0.0.0"] }
	s.submit("/slow/", jobID, "2h", `"count":1,"cpu":1000,"longRunning":true,"missAllowed":1,"targetMs":100`, "")
	s.waitFor("the task runs", func() bool { return s.running() == 1 })
	s.submit("/slow/", fillerID, "30m", `"count":1,"cpu":1000,"fills":true`, "")
	s.waitFor("the filler runs slowly", func() bool { return pace() > 0 && pace() < 50 })
	s.waitFor("the filler speeds up", func() bool { return pace() >= 50 })
	setTail(150)
	s.waitFor("the filler is halted", func() bool { return s.running() == 2 && pace() == 0 })
	setTail(20)
	s.waitFor("the filler resumes", func() bool { return pace() > 0 })
	is.Equal(s.running(), 2)
}

func TestPlacementAdviceIsFollowed(t *testing.T) {
	is := is.New(t)
	s := newWorkloadCluster(t, 3, 0)
	s.adviser.Allowed = []string{"x1"}
	for i, x := range s.executors {
		x.Ticket = func(task string) string {
			return standin.Ticket(task[:strings.LastIndexByte(task, '.')], fmt.Sprintf("x%d", i))
		}
	}
	s.startVM("vm0")
	s.submit("/told/", jobID, "100ms", `"count":4,"gpu":1,"estimateMs":100`, "")
	s.waitFor("the job is completed", func() bool { return s.vms[0].stateInQueue("/told/", jobID) == "completed" })
	is.Equal(len(s.executors[1].Starts()), 4)
	is.Equal(s.adviser.Calls(), 1)
}

// addMachines makes each executor a machine. After its maintenance the machine comes back
// with a new executor id once downtime has passed.
func (s *cluster) addMachines(downtime time.Duration) {
	for i := range s.executors {
		s.machineService.Put(standin.Machine{ID: fmt.Sprintf("m%d", i), Pool: "s", State: "up", Executor: fmt.Sprintf("x%d", i), GPUs: executorGPUs})
	}
	s.machineService.Ended = func(machine, pool string) {
		var i int
		_, _ = fmt.Sscanf(machine, "m%d", &i)
		s.store.Put("keyed.servers", fmt.Sprintf("x%d", i), nil)
		s.executors[i].Restart()
		time.AfterFunc(downtime, func() {
			s.machineService.Up(machine, machine+"-again")
			s.listExecutor(i, machine+"-again", pool)
		})
	}
}

// A new leader must continue a maintenance wave from the stored progress and keep to its
// limit of machines that are down at a time.
func TestMaintenanceWaveContinuesUnderNewLeader(t *testing.T) {
	is := is.New(t)
	s := newWorkloadCluster(t, 4, 1)
	s.addMachines(300 * time.Millisecond)
	s.submit("/slow/", jobID, "2h", `"count":1,"gpu":1,"longRunning":true,"missAllowed":1`, "")
	s.waitFor("the task runs", func() bool { return s.running() == 1 })
	s.store.Put("keyed.op", "wave/7", []byte(`{"wave":7,"machines":["m0","m1","m2","m3"],"durationS":20,"cap":1}`))
	s.waitFor("a machine is down for maintenance", func() bool { return s.machineService.MaxDown() > 0 })
	s.replaceLeader()
	s.waitFor("the wave is completed", func() bool { return strings.Contains(string(s.store.Get("keyed.status", "wave/7")), "completed") })
	is.Equal(s.machineService.MaxDown(), 1)
	s.waitFor("the task runs", func() bool { return s.running() == 1 })
}

// A switched-off machine of a standby pool must join a pool that is full, and be returned
// to its own pool even if the leader changes in between.
func TestStandbyMachineIsLentToFullPool(t *testing.T) {
	s := newWorkloadCluster(t, 2, 0)
	s.store.Put("keyed.servers", "x1", nil) // its machine is switched off
	s.addMachines(100 * time.Millisecond)
	s.machineService.Put(standin.Machine{ID: "m1", Pool: "z", State: "down", GPUs: executorGPUs})
	s.startVM("vm0")
	s.submit("/slow/", jobID, "20s", `"count":12,"gpu":1,"estimateMs":20000`, "")
	s.waitFor("all tasks run", func() bool { return s.running() == 12 })
	s.replaceLeader()
	s.waitFor("the job is completed", func() bool { return s.vms[0].state(jobID) == "completed" })
	s.waitFor("the machine is back in its own pool", func() bool { return s.machineService.Pool("m1") == "z" })
}

// The queue is removed while the job runs and one of its tasks has not started: that task
// must still run.
func TestJobOfRemovedQueueCompletes(t *testing.T) {
	is := is.New(t)
	s := newWorkloadCluster(t, 1, 1)
	s.submit("/slow/", jobID, "1s", `"count":9,"gpu":1,"estimateMs":1000`, "")
	s.waitFor("eight tasks run", func() bool { return s.running() == executorGPUs })
	s.store.Put("keyed.op", "config", []byte(strings.Replace(strings.Replace(workloadConfig, `"version":2`, `"version":3`, 1), `"slow"`, `"new"`, 1)))
	s.waitFor("all tasks have run", func() bool { return len(s.executors[0].Starts()) == 9 && s.running() == 0 })
	is.Equal(len(s.executors[0].Starts()), 9)
}
