package main_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// standingNeed is what a task needs, or what an executor has.
type standingNeed struct{ cpu, memory, gpu int } // millicores, MB

// standingKind is a kind of jobs like one of the users' queues.
type standingKind struct {
	queue     string
	priority  int
	attempts  int
	stretch   float64
	targetMS  int
	perSecond float64
	width     float64 // mean
	maxWidth  int
	need      standingNeed
	gpus      []int
	work      time.Duration // mean
	spread    float64
	maxWork   time.Duration // 0 for any
	estimate  float64       // spread
	gang      float64       // share of jobs
	sameRack  float64       // share of gangs
	labelled  float64
	apart     float64 // share of jobs with anti-affinity
	twoSteps  float64
	failing   float64 // share of jobs with a task that fails each time
	lasting   float64
	scheduled float64
	cancelled float64
}

var standingKinds = []standingKind{
	{
		queue: "promo-batch", priority: 1, attempts: 2, stretch: 3, targetMS: 1000, perSecond: 0.45, width: 5, maxWidth: 30,
		need: standingNeed{52000, 110000, 0}, gpus: []int{1, 2, 4, 8, 8}, work: 9400 * time.Millisecond, spread: 0.3, estimate: 0.5,
		gang: 1, sameRack: 0.6, labelled: 0.3, failing: 0.05, scheduled: 0.05, cancelled: 0.05,
	}, {
		queue: "preview", priority: 0, attempts: 3, stretch: 1.5, targetMS: 250, perSecond: 1.35, width: 3.4, maxWidth: 21,
		need: standingNeed{15000, 39000, 0}, gpus: []int{1, 2, 4, 8, 8}, work: 2100 * time.Millisecond, spread: 0.5, estimate: 0.9,
		gang: 1, sameRack: 0.8, failing: 0.05,
	}, {
		queue: "template-rebuild", priority: 2, attempts: 3, stretch: 3, targetMS: 3000, perSecond: 0.52, width: 16, maxWidth: 94,
		need: standingNeed{11000, 16000, 0}, gpus: []int{1}, work: 6500 * time.Millisecond, spread: 0.3, estimate: 0.9,
		labelled: 0.12, apart: 0.12, twoSteps: 0.3, failing: 0.05, lasting: 0.06, scheduled: 0.08, cancelled: 0.15,
	},
}

const (
	standingLong         = 0.03 // share of steps that last standingLongFactor times as long
	standingLongFactor   = 20
	standingRemoteFactor = 3
	standingOccurrences  = 3
	standingMinWork      = 500 * time.Millisecond // of kinds with a maximum
)

// standingStep is a step of a job and how its tasks proceed.
type standingStep struct {
	tasks     int
	need      standingNeed
	work      []time.Duration // by task
	gang      bool
	sameRack  bool
	label     string
	perWorker int  // tasks per executor, 0 for any number
	fails     bool // its first task, each time
	lasting   bool
	after     []int
	estimate  int // ms
}

// standingJob is a job as its caller and the stand-ins know it. standingSoak.mu protects the
// fields that change.
type standingJob struct {
	id, body string
	kind     *standingKind
	steps    []standingStep
	due      []time.Time // by occurrence
	cancels  bool

	accepted  time.Time
	cancelled bool
	phantom   bool
	done      map[string]bool // by task
	failures  map[string]int  // by task, or by step for gangs
	mayFail   bool
	lastRun   time.Time
	taskRun   map[string]time.Time // when a task last ran, for lasting ones
	stands    map[string]time.Time // since when a task, or the job itself, stands
	longest   time.Duration        // that it, or a task of it that lasts, has stood, calm or not
	reported  bool
	failedRun map[string]int64 // by step, last run of a gang that has failed
}

func logNormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// newJob draws a job and adds it to the soak.
func (s *standingSoak) newJob(k *standingKind, r *rand.Rand) *standingJob {
	j := &standingJob{
		kind: k, cancels: r.Float64() < k.cancelled, due: []time.Time{time.Now()},
		done: map[string]bool{}, failures: map[string]int{}, failedRun: map[string]int64{}, taskRun: map[string]time.Time{}, stands: map[string]time.Time{},
	}
	st := drawStep(k, r)
	j.steps = []standingStep{st}
	if r.Float64() < k.twoSteps && !st.lasting {
		second := drawStep(k, r)
		second.lasting, second.after = false, []int{0}
		j.steps = append(j.steps, second)
	}
	schedule := ""
	if r.Float64() < k.scheduled && !st.lasting {
		first, interval := time.Now().Add(time.Duration(1000+r.IntN(6000))*time.Millisecond), time.Duration(3000+r.IntN(3000))*time.Millisecond
		j.due = nil
		for i := range standingOccurrences {
			j.due = append(j.due, first.Add(time.Duration(i)*interval))
		}
		schedule = fmt.Sprintf(`,"repeatCount":%d,"startAtMs":%d,"intervalMs":%d`, standingOccurrences, first.UnixMilli(), interval.Milliseconds())
	}
	var steps []string
	for i := range j.steps {
		steps = append(steps, j.steps[i].encode())
	}
	j.body = fmt.Sprintf(`{"spec":"1h","steps":[%s]%s}`, strings.Join(steps, ","), schedule)
	s.mu.Lock()
	defer s.mu.Unlock()
	j.id = fmt.Sprintf("%08x%08x", s.seed, len(s.jobs)+1)
	s.jobs[j.id] = j
	s.active = append(s.active, j)
	return j
}

func drawStep(k *standingKind, r *rand.Rand) standingStep {
	st := standingStep{
		tasks: min(k.maxWidth, max(1, int(math.Round(logNormal(r, k.width, 0.8))))), need: k.need,
		gang: r.Float64() < k.gang, fails: r.Float64() < k.failing, lasting: r.Float64() < k.lasting,
	}
	st.need.gpu = k.gpus[r.IntN(len(k.gpus))]
	st.sameRack = st.gang && r.Float64() < k.sameRack
	if r.Float64() < k.labelled {
		st.label = []string{"a", "b"}[r.IntN(2)]
	}
	if r.Float64() < k.apart {
		st.perWorker = 1 + r.IntN(2)
	}
	factor := 1.0
	if r.Float64() < standingLong {
		factor = standingLongFactor
	}
	for range st.tasks {
		d := time.Duration(factor * logNormal(r, float64(k.work), k.spread))
		if k.maxWork > 0 {
			d = min(max(d, standingMinWork), k.maxWork)
		}
		st.work = append(st.work, d)
	}
	if st.lasting {
		st.tasks, st.work = min(st.tasks, 6), st.work[:min(st.tasks, 6)]
		for i := range st.work {
			st.work[i] = 24 * time.Hour
			if r.IntN(4) == 0 {
				st.work[i] = time.Duration(4+r.IntN(20)) * time.Second // then it fails
			}
		}
	}
	st.estimate = int(logNormal(r, float64(k.work.Milliseconds()), k.estimate))
	return st
}

func (st *standingStep) encode() string {
	b, _ := json.Marshal(map[string]any{
		"count": st.tasks, "cpu": st.need.cpu, "memMb": st.need.memory, "gpu": st.need.gpu, "estimateMs": st.estimate,
		"gang": st.gang, "sameRack": st.sameRack, "requirements": st.label, "antiAffinity": st.perWorker,
		"dependsOn": st.after, "longRunning": st.lasting,
	})
	return string(b)
}

// find returns the job of a task with the numbers of its step and index.
func (s *standingSoak) find(task string) (j *standingJob, step, index int) {
	f := strings.Split(task, ".")
	step, _ = strconv.Atoi(f[2])
	index, _ = strconv.Atoi(f[3])
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[f[0]], step, index
}

// work tells an executor how the runs of a task proceed.
func (s *standingSoak) work(task string) platformstandin.Work {
	j, step, index := s.find(task)
	if j == nil {
		s.problemf("task %s runs, which no caller submitted", task)
		return platformstandin.Work{}
	}
	st := j.steps[step]
	w := platformstandin.Work{Duration: st.work[index], Fails: st.fails && index == 0 || st.lasting}
	if st.gang {
		w.Duration, w.GangSize, w.RemoteFactor = st.work[0], st.tasks, 1
		if st.sameRack {
			w.RemoteFactor = standingRemoteFactor
		}
	}
	return w
}

func (s *standingSoak) recordStart(task string) {
	j, _, _ := s.find(task)
	if j == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.lastRun = time.Now()
	j.taskRun[task] = j.lastRun
}

func (s *standingSoak) recordEnd(task string, run int64, reason string) {
	j, step, _ := s.find(task)
	if j == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.lastRun = time.Now()
	j.taskRun[task] = j.lastRun
	switch st := &j.steps[step]; {
	case reason == "done" && st.gang:
		name := task[:strings.LastIndexByte(task, '.')]
		for i := range st.tasks {
			j.done[fmt.Sprintf("%s.%d", name, i)] = true
		}
	case reason == "done":
		j.done[task] = true
	case reason == "failed" && !st.lasting:
		if j.failures[task]++; j.failures[task] >= j.kind.attempts {
			j.mayFail = true
		}
	}
}

// post submits a job to a random VM once and reports whether it was accepted.
func (s *standingSoak) post(j *standingJob, r *rand.Rand) bool {
	a := soakCall(http.MethodPost, s.vms[r.IntN(len(s.vms))].callers, "/"+j.kind.queue+"/"+j.id, j.body)
	if a.status < http.StatusOK || a.status >= http.StatusMultipleChoices {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.accepted.IsZero() {
		j.accepted = time.Now()
	}
	return true
}

// submit submits a job until it is accepted, at most five times, and cancels some later.
func (s *standingSoak) submit(j *standingJob, r *rand.Rand) {
	for n := 0; !s.post(j, r); n++ {
		if n == 4 {
			return
		}
		time.Sleep(time.Duration(200+r.IntN(600)) * time.Millisecond)
	}
	if r.IntN(10) == 0 {
		s.post(j, r)
	}
	if !j.cancels {
		return
	}
	time.Sleep(time.Duration(r.IntN(5000)) * time.Millisecond)
	s.mu.Lock()
	j.cancelled = true
	s.mu.Unlock()
	soakCall(http.MethodDelete, s.vms[r.IntN(len(s.vms))].callers, "/"+j.kind.queue+"/"+j.id, "")
}
