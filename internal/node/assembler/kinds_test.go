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

// kinds is a configuration with a queue that needs advice and a pool that is off.
const kinds = `{"version":2,"routes":[
	{"name":"slow","host":"h.example","pathPrefix":"/slow/","service":"s","priority":1,"maxAttempts":9,"stretch":3,"targetLatencyMs":1000},
	{"name":"told","host":"h.example","pathPrefix":"/told/","service":"s","priority":1,"maxAttempts":9,"stretch":3,"targetLatencyMs":1000,
		"advice":{"decideMs":5,"periodMs":1}}],
	"services":[{"name":"s"},{"name":"z","standby":true}],
	"limits":{"maxBodyBytes":10000},"tenants":[{"name":"o","apiKeys":["key"],"guaranteed":{"gpu":8}}]}`

func newKindsSite(t *testing.T, executors, vms int) *site {
	t.Helper()
	t.Parallel()
	s := newSite(t, executors, 0)
	s.store.Put("keyed.op", "config", []byte(kinds))
	for i := range vms {
		s.start(fmt.Sprintf("vm%d", i))
	}
	return s
}

// submit submits a job of one step.
func (s *site) submit(path, id, spec, step, job string) {
	s.t.Helper()
	status, body := s.vms[0].call(http.MethodPost, path+id, "key", fmt.Sprintf(`{"spec":%q,"steps":[{%s}]%s}`, spec, step, job))
	if status != http.StatusOK {
		s.t.Fatalf("submit: %d %s", status, body)
	}
}

// running returns how many tasks run on all executors.
func (s *site) running() int {
	n := 0
	for _, x := range s.executors {
		n += len(x.Running())
	}
	return n
}

// leave lets the first VM leave, which leads, and another one lead on.
func (s *site) leave() {
	s.start("next")
	s.vms[0].cancel()
	<-s.vms[0].done
	s.vms = s.vms[1:]
}

func TestScheduledJobGoesOnUnderAnotherLeader(t *testing.T) {
	is := is.New(t)
	s := newKindsSite(t, 1, 1)
	due := time.Now().Add(time.Second)
	s.submit("/slow/", id, "50ms", `"count":1,"gpu":1,"estimateMs":50`,
		fmt.Sprintf(`,"repeatCount":3,"startAtMs":%d,"intervalMs":2500`, due.UnixMilli()))
	s.await("the first occurrence has run", func() bool { return len(s.executors[0].Starts()) == 1 })
	is.True(!time.Now().Before(due))
	s.leave()
	s.await("the job is completed", func() bool { return s.vms[0].state(id) == "completed" })
	is.Equal(s.executors[0].Starts(), []string{id + ".0.0.0", id + ".1.0.0", id + ".2.0.0"})
}

func TestTaskThatLastsBeginsAgainOnANewLife(t *testing.T) {
	is := is.New(t)
	s := newKindsSite(t, 1, 1)
	s.submit("/slow/", id, "2h", `"count":2,"gpu":1,"longRunning":true,"missAllowed":1`, "")
	s.await("both tasks run", func() bool { return s.running() == 2 })
	s.executors[0].Restart() // under the same id
	s.list(0, "x0", "s")
	s.await("both tasks run again", func() bool { return s.running() == 2 })
	s.leave()
	status, _ := s.vms[0].call(http.MethodDelete, "/slow/"+id, "key", "")
	is.Equal(status, http.StatusOK)
	s.await("nothing runs", func() bool { return s.running() == 0 })
}

func TestTaskThatLastsOutlivesAnOutageOfTheStore(t *testing.T) {
	s := newKindsSite(t, 2, 1)
	s.submit("/slow/", id, "2h", `"count":1,"gpu":1,"longRunning":true,"missAllowed":1`, "")
	s.await("the task runs", func() bool { return s.running() == 1 })
	s.vms[0].door.Shut.Store(true)
	busy := slices.IndexFunc(s.executors, func(x *standin.Executor) bool { return len(x.Running()) == 1 })
	s.executors[busy].Restart()
	s.await("it runs again", func() bool { return s.running() == 1 })
	s.vms[0].door.Shut.Store(false)
}

func TestFillerIsPacedBesideATaskThatServes(t *testing.T) {
	is := is.New(t)
	s := newKindsSite(t, 1, 0)
	const other = "00000000000000b2"
	x := s.executors[0]
	load := make(chan int, 1) // the tail of the task that serves, in milliseconds
	load <- 20
	x.Figure = func(task string, _ int) int {
		if !strings.HasPrefix(task, id) {
			return 1000
		}
		n := <-load
		load <- n
		return n
	}
	set := func(n int) {
		<-load
		load <- n
	}
	s.start("vm0")
	pace := func() int { return x.Paces()[other+".0.0.0"] }
	s.submit("/slow/", id, "2h", `"count":1,"cpu":1000,"longRunning":true,"missAllowed":1,"targetMs":100`, "")
	s.await("the task runs", func() bool { return s.running() == 1 })
	s.submit("/slow/", other, "30m", `"count":1,"cpu":1000,"fills":true`, "")
	s.await("the filler runs slowly", func() bool { return pace() > 0 && pace() < 50 })
	s.await("it gains", func() bool { return pace() >= 50 })
	set(150)
	s.await("it is halted", func() bool { return s.running() == 2 && pace() == 0 })
	set(20)
	s.await("it works again", func() bool { return pace() > 0 })
	is.Equal(s.running(), 2)
}

func TestAdviceIsFollowed(t *testing.T) {
	is := is.New(t)
	s := newKindsSite(t, 3, 0)
	s.adviser.Allowed = []string{"x1"}
	for i, x := range s.executors {
		x.Ticket = func(task string) string {
			return standin.Ticket(task[:strings.LastIndexByte(task, '.')], fmt.Sprintf("x%d", i))
		}
	}
	s.start("vm0")
	s.submit("/told/", id, "100ms", `"count":4,"gpu":1,"estimateMs":100`, "")
	s.await("the job is completed", func() bool { return s.vms[0].stateAt("/told/", id) == "completed" })
	is.Equal(len(s.executors[1].Starts()), 4)
	is.Equal(s.adviser.Asked(), 1)
}

// machines makes each executor a machine, which comes back under another id after it
// was taken down.
func (s *site) machines(pause time.Duration) {
	for i := range s.executors {
		s.cloud.Put(standin.Machine{ID: fmt.Sprintf("m%d", i), Pool: "s", State: "up", Executor: fmt.Sprintf("x%d", i), GPUs: gpus})
	}
	s.cloud.Ended = func(machine, pool string) {
		var i int
		_, _ = fmt.Sscanf(machine, "m%d", &i)
		s.store.Put("keyed.servers", fmt.Sprintf("x%d", i), nil)
		s.executors[i].Restart()
		time.AfterFunc(pause, func() {
			s.cloud.Up(machine, machine+"-again")
			s.list(i, machine+"-again", pool)
		})
	}
}

func TestWaveGoesOnUnderAnotherLeader(t *testing.T) {
	is := is.New(t)
	s := newKindsSite(t, 4, 1)
	s.machines(300 * time.Millisecond)
	s.submit("/slow/", id, "2h", `"count":1,"gpu":1,"longRunning":true,"missAllowed":1`, "")
	s.await("the task runs", func() bool { return s.running() == 1 })
	s.store.Put("keyed.op", "wave/7", []byte(`{"wave":7,"machines":["m0","m1","m2","m3"],"durationS":20,"cap":1}`))
	s.await("an upkeep has begun", func() bool { return s.cloud.MostDown() > 0 })
	s.leave()
	s.await("the wave is over", func() bool { return strings.Contains(string(s.store.Get("keyed.status", "wave/7")), "completed") })
	is.Equal(s.cloud.MostDown(), 1)
	s.await("the task runs", func() bool { return s.running() == 1 })
}

func TestMachineThatIsOffJoinsWorkWithoutRoom(t *testing.T) {
	s := newKindsSite(t, 2, 0)
	s.store.Put("keyed.servers", "x1", nil) // it is off
	s.machines(100 * time.Millisecond)
	s.cloud.Put(standin.Machine{ID: "m1", Pool: "z", State: "down", GPUs: gpus})
	s.start("vm0")
	s.submit("/slow/", id, "20s", `"count":12,"gpu":1,"estimateMs":20000`, "")
	s.await("all tasks run", func() bool { return s.running() == 12 })
	s.leave()
	s.await("the job is completed", func() bool { return s.vms[0].state(id) == "completed" })
	s.await("the machine is home again", func() bool { return s.cloud.Pool("m1") == "z" })
}

func TestJobOfADroppedQueueIsDone(t *testing.T) {
	is := is.New(t)
	s := newKindsSite(t, 1, 1)
	s.submit("/slow/", id, "1s", `"count":9,"gpu":1,"estimateMs":1000`, "")
	s.await("it runs", func() bool { return s.running() == gpus })
	s.store.Put("keyed.op", "config", []byte(strings.Replace(strings.Replace(kinds, `"version":2`, `"version":3`, 1), `"slow"`, `"new"`, 1)))
	s.await("all tasks have run", func() bool { return len(s.executors[0].Starts()) == 9 && s.running() == 0 })
	is.Equal(len(s.executors[0].Starts()), 9)
}
