package commander_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/commander"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// quickWorker is a worker whose runs end as soon as they are asked for, except those
// of the job "long", which never end. It costs little beside the leader.
type quickWorker struct {
	mu      sync.Mutex
	running map[string]int64
	ends    [][]any
	last    int64
	changed chan struct{} // closed at the next end
}

func (v *quickWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Task string `json:"task"`
		Run  int64  `json:"run"`
		Ack  int64  `json:"ackCursor"`
		Wait int64  `json:"waitMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	for len(v.ends) > 0 && v.ends[0][0].(int64) <= c.Ack {
		v.ends = v.ends[1:]
	}
	if r.URL.Path == "/run-start" {
		v.running[c.Task] = c.Run
		if !strings.HasPrefix(c.Task, "long") {
			time.AfterFunc(100*time.Millisecond, func() { v.end(c.Task, c.Run) })
		}
	}
	if c.Wait > 0 && len(v.ends) == 0 {
		changed := v.changed
		v.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		}
		v.mu.Lock()
	}
	running := [][]any{}
	for t, run := range v.running {
		running = append(running, []any{t, run, "", 10, 0})
	}
	b, _ := json.Marshal(map[string]any{"clockMs": time.Now().UnixMilli(), "born": 1, "running": running, "finished": v.ends})
	v.mu.Unlock()
	_, _ = w.Write(b)
}

func (v *quickWorker) end(task string, run int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.running, task)
	v.last++
	v.ends = append(v.ends, []any{v.last, task, run, "done", ""})
	close(v.changed)
	v.changed = make(chan struct{})
}

// BenchmarkLeader measures a job of 8 tasks from its submission to its completion on a
// leader with many busy workers: decisions, calls and their encoding. Profile it with
// -cpuprofile; the workers' own share is below quickWorker.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{50, 350, 1100, 3000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkLeader(b, n) })
	}
}

func benchmarkLeader(b *testing.B, workers int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	infos := make([]scheduler.WorkerInfo, workers)
	for i := range infos {
		l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", i/250, 1+i%250))
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{Handler: &quickWorker{running: map[string]int64{}, changed: make(chan struct{})}, ReadHeaderTimeout: time.Second}
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		infos[i] = scheduler.WorkerInfo{
			ID: fmt.Sprintf("w%04d", i), Address: l.Addr().String(), Service: "s", Rack: fmt.Sprintf("r%d", i/12), StartedMS: 1,
			Capacity: placer.Resources{MilliCores: 128000, MemoryMB: 524288, Accelerators: 8},
		}
	}
	x := &platform.Executors{Client: &platform.Client{}, CallFailed: func(_, _ string, err error) { b.Log(err) }}
	completed := make(chan string, workers+64)
	c := &commander.Commander{
		Hold: func(ctx context.Context, h scheduler.Hold, margin time.Duration) scheduler.HoldResult {
			return x.Hold(ctx, h, margin, time.Now)
		},
		Start: x.Start, Stop: x.Stop, Pace: x.Pace,
		StoreProgress: func(_ context.Context, all map[string]scheduler.Progress) error {
			for id, p := range all {
				if p.State == scheduler.StateCompleted {
					completed <- id
				}
			}
			return nil
		},
		DeleteJobs: func(context.Context, []string) {}, LogDecision: func(scheduler.Decision) {},
		ObserveDuration: func(string, time.Duration) {}, Now: time.Now,
	}
	now := time.Now()
	queue := scheduler.Queue{Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000}
	offset := int64(0)
	submit := func(id string, tasks int) scheduler.Submitted {
		offset++
		return scheduler.Submitted{Offset: offset, Job: scheduler.Job{
			ID: id, Queue: "q", Organisation: "o", AcceptedMS: time.Now().UnixMilli(), QueueConfig: queue,
			Steps: []scheduler.Step{{Tasks: tasks, PerWorker: 1, Need: placer.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}, EstimateMS: 60000}},
		}}
	}
	s := &scheduler.Scheduler{Settings: scheduler.Settings{Lease: 10 * time.Second}, Epoch: 1, LeadingSince: now, ConfirmedAt: now.Add(time.Hour)}
	ended := make(chan error, 1)
	go func() {
		ended <- c.Lead(ctx, s, func() []scheduler.Event {
			return []scheduler.Event{
				scheduler.ConfigChanged{Config: scheduler.Config{Queues: map[string]scheduler.Queue{"q": queue}}},
				scheduler.WorkersListed{Workers: infos},
				submit("long", workers), submit("first", 8),
			}
		})
	}()
	for id := range completed {
		if id == "first" {
			break
		}
	}
	const inFlight = 16 // jobs
	for i := range inFlight {
		c.Post(submit(fmt.Sprintf("j%d", -i-1), 8))
	}
	for i := 0; b.Loop(); i++ {
		<-completed
		c.Post(submit(fmt.Sprintf("j%d", i), 8))
	}
	cancel()
	<-ended
}
