package reducer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

var benchStart = time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC)

const tasksPerWorker = 29

// benchInventory returns the inventory of a worker that runs 29 gangs of one task and
// has room for two more.
func benchInventory(n int, epoch leaser.Epoch) leaser.Inventory {
	i := leaser.Inventory{
		Worker: fmt.Sprintf("w%04d", n), Epoch: epoch,
		Capacity: placer.Resources{MilliCores: 31000, MemoryMB: 31000, Accelerators: 8},
	}
	for k := range tasksPerWorker {
		i.Leases = append(i.Leases, leaser.Lease{
			ID: leaser.ID{Job: fmt.Sprintf("j%04d-%02d", n, k), Attempt: 1}, Epoch: epoch, GangSize: 1,
			Organisation: "a", Resources: placer.Resources{MilliCores: 1000, MemoryMB: 1000},
			State: leaser.StateRunning,
		})
	}
	return i
}

// benchLeader returns the state of a leader with the given number of busy workers. It
// also returns the state before the last inventory of its recovery, and that event.
func benchLeader(b *testing.B, workers int) (leading, recovering reducer.State, last reducer.Event) {
	b.Helper()
	s := reducer.New("vm-1")
	now := benchStart
	apply := func(e reducer.Event) { s, _ = reducer.Reduce(now, s, e) }
	apply(reducer.ConfigChanged{Config: decoder.Config{Organisations: []decoder.Organisation{{Name: "a"}}}})
	var list []reducer.WorkerListed
	offset := int64(0)
	for n := range workers {
		list = append(list, reducer.WorkerListed{ID: fmt.Sprintf("w%04d", n), Rack: fmt.Sprintf("r%04d", n/8)})
		for k := range tasksPerWorker {
			offset++
			apply(reducer.RecordRead{Offset: offset, Appended: now, Record: benchJob(fmt.Sprintf("j%04d-%02d", n, k))})
		}
	}
	apply(reducer.WorkersListed{Workers: list})
	apply(reducer.PeersChanged{Live: []string{"vm-1"}})
	now = now.Add(time.Second)
	apply(reducer.CaughtUp{Next: offset + 1})
	apply(reducer.Ticked{})
	apply(reducer.RecordRead{Offset: offset + 1, Appended: now, Record: reducer.LeaderClaimed{VM: "vm-1"}})
	for n := range workers {
		recovering, last = s, reducer.InventoryRead{Epoch: s.Epoch(), SentAt: now, Inventory: benchInventory(n, s.Epoch())}
		apply(last)
	}
	for n := range workers {
		apply(reducer.WorkerReported{Inventory: benchInventory(n, s.Epoch()), Age: -time.Millisecond})
	}
	apply(reducer.RecordRead{Offset: offset + 2, Appended: now, Record: benchJob("warm")})
	apply(reducer.Ticked{})
	if !s.Leading() {
		b.Fatal("not leading")
	}
	return s, recovering, last
}

func benchJob(id string) reducer.JobAccepted {
	return reducer.JobAccepted{Accepted: benchStart, Job: reducer.Job{
		ID: id, Organisation: "a", Service: "service", Class: reducer.ClassBatch,
		Gang: placer.Request{Tasks: 1, PerTask: placer.Resources{MilliCores: 1000, MemoryMB: 1000}, Adjacency: placer.AdjacencyNone},
	}}
}

// BenchmarkReduce measures the most frequent events on a leader with 29 tasks on each
// worker, always from the same state.
func BenchmarkReduce(b *testing.B) {
	for _, workers := range []int{50, 200, 1000} {
		s, recovering, last := benchLeader(b, workers)
		now := benchStart.Add(1100 * time.Millisecond)
		unchanged := reducer.WorkerReported{Inventory: benchInventory(workers/2, s.Epoch())}
		changed := reducer.WorkerReported{Inventory: benchInventory(workers/2, s.Epoch())}
		changed.Inventory.Leases[3].State = leaser.StateSucceeded
		probe := reducer.InventoryRead{Epoch: s.Epoch(), SentAt: now, Inventory: unchanged.Inventory}
		accepted := reducer.RecordRead{Offset: 1 << 40, Appended: now, Record: benchJob("new")}
		urgent := accepted
		job := benchJob("new")
		job.Job.Class = reducer.ClassUrgent
		urgent.Record = job
		large := benchJob("large")
		large.Job.Gang.Tasks = workers
		large.Job.Gang.PerTask.MilliCores = 3000 // 2000 are free on each worker
		large.Accepted = benchStart.Add(-time.Minute)
		blocked, _ := reducer.Reduce(now, s, reducer.RecordRead{Offset: 1 << 40, Appended: now, Record: large})
		for _, e := range []struct {
			name  string
			state reducer.State
			event reducer.Event
		}{
			{"report-unchanged", s, unchanged},
			{"report-task-ended", s, changed},
			{"probe-unchanged", s, probe},
			{"tick-idle", s, reducer.Ticked{}},
			{"accept-only", s, accepted},
			{"accept-and-place", s, urgent},
			{"reserve", blocked, reducer.Ticked{}},
			{"take-over", recovering, last},
		} {
			b.Run(fmt.Sprintf("%s/workers=%d", e.name, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = reducer.Reduce(now, e.state, e.event)
				}
			})
		}
	}
}

// BenchmarkState reports the memory of a leader's state with 29 tasks on each worker.
func BenchmarkState(b *testing.B) {
	for _, workers := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, _, _ := benchLeader(b, workers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s, _ = reducer.Reduce(benchStart.Add(2*time.Second), s, reducer.Ticked{})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(workers), "heap-B/worker")
		})
	}
}
