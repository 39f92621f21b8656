package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Waiting must be true only while a job is queued, not while jobs only run.
func TestWaitingReportsQueuedJobs(t *testing.T) {
	is := is.New(t)
	w := newCluster(1, 1)
	w.addWorker("w1", "r1", 8)
	s := &script{cluster: w}
	s.organisation([]string{"a"})
	w.run(3 * time.Second)
	is.NoErr(w.submit(job([]string{"runs", "a", "run=1m", "accelerators=8"})))
	w.run(10 * time.Second)
	is.True(!w.vms[0].state.Waiting())
	is.NoErr(w.submit(job([]string{"waits", "a", "run=1h", "accelerators=8"})))
	w.run(5 * time.Second)
	is.True(w.vms[0].state.Waiting())
	w.run(2 * time.Minute)
	is.True(!w.vms[0].state.Waiting())
}
