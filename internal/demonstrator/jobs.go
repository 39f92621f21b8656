package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
	"github.com/lacewingdoor/lacewingdoor/internal/server"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The organisations and their services: owner has a guarantee, borrower has none.
const (
	owner           = "etiquetar"
	ownerService    = "labels"
	borrower        = "morfa"
	borrowerService = "tides"
)

const shortDeadline = time.Second

func organisationOf(service string) string {
	if service == ownerService {
		return owner
	}
	return borrower
}

// configuration returns the configuration files to publish, by name: one for each
// service.
func (w *cluster) configuration() map[string]string {
	const template = `[organisation.%[1]s]
key-hashes = [%[2]q]
%[4]s
[service.%[3]s]
organisation = %[1]q
[[service.%[3]s.route]]
path = "/proof"
deadline = "1s"
[[service.%[3]s.route]]
path = "/set"
class = "long"
deadline = "10s"
[[service.%[3]s.route]]
path = "/print"
non-idempotent = true
deadline = "5s"
[service.%[3]s.job]
accelerators = 1
milli-cores = 1000
memory-mb = 1000
`
	guarantee := fmt.Sprintf(`[[organisation.%s.guarantee]]
name = "overnight"
blocks = 2
accelerators = %d
milli-cores = 8000
memory-mb = 8000
adjacency = "worker"
reclaim-bound = %q
grace = "1s"
`, owner, accelerators, reclaimBound)
	return map[string]string{
		"labels.toml": fmt.Sprintf(template, owner, w.hashes[owner], ownerService, guarantee),
		"tides.toml":  fmt.Sprintf(template, borrower, w.hashes[borrower], borrowerService, ""),
	}
}

// jobResult is the result of a job that succeeded.
type jobResult struct {
	id   string
	took time.Duration // from acceptance to end
}

// submit submits a job through a live entry VM.
func (w *cluster) submit(ctx context.Context, organisation string, q responder.JobRequest) error {
	return w.call(ctx, w.liveVM(1), http.MethodPost, "/-/jobs", w.keys[organisation], q, nil)
}

// jobStatus returns the status of a job.
func (w *cluster) jobStatus(ctx context.Context, organisation, id string) (responder.JobResponse, error) {
	var j responder.JobResponse
	err := w.call(ctx, w.liveVM(0), http.MethodGet, "/-/jobs/"+id, w.keys[organisation], nil, &j)
	return j, err
}

// heldAccelerators returns the number of accelerators that running tasks of an
// organisation hold, from the inventories of the workers.
func (w *cluster) heldAccelerators(ctx context.Context, organisation string) (int, error) {
	n := 0
	for id, a := range w.workerAddresses {
		var i leaser.Inventory
		if err := w.get(ctx, a, "/inventory", &i); err != nil {
			return 0, fmt.Errorf("read inventory of %s: %w", id, err)
		}
		for _, l := range i.Leases {
			if l.State == leaser.StateRunning && l.Organisation == organisation {
				n += l.Resources.Accelerators
			}
		}
	}
	return n, nil
}

// runBorrowerGang runs a gang of the borrower on all accelerators.
func runBorrowerGang(ctx context.Context, w *cluster, r *Report) error {
	checkpointable := true
	q := responder.JobRequest{
		ID: "gather", Service: borrowerService, Tasks: totalAccelerators, Checkpointable: &checkpointable,
		DeclaredRunMS: borrowerRunTime.Milliseconds(),
		Payload:       fmt.Sprintf(`{"run-ms":%d}`, borrowerRunTime.Milliseconds()),
	}
	if err := w.submit(ctx, borrower, q); err != nil {
		return err
	}
	partial := 0
	err := waitUntil(ctx, "the whole gang runs", func() (bool, error) {
		j, err := w.jobStatus(ctx, borrower, q.ID)
		if err != nil {
			return false, err
		}
		n, err := w.heldAccelerators(ctx, borrower)
		if j.Phase == "running" && n < totalAccelerators {
			partial++
		}
		return j.Phase == "running" && n == totalAccelerators, err
	})
	r.addPromise("a gang runs whole or not at all", err == nil && partial == 0, "%d tasks run, seen %d times incomplete while its phase was running", totalAccelerators, partial)
	return err
}

// reclaimGuarantee submits a job of the owner that needs its guaranteed capacity.
func reclaimGuarantee(ctx context.Context, w *cluster, r *Report) error {
	q := responder.JobRequest{
		ID: "rebuild", Service: ownerService, Tasks: accelerators, Adjacency: placer.AdjacencyWorker,
		DeclaredRunMS: 1000, Payload: `{"run-ms":8000}`,
	}
	at := time.Now()
	if err := w.submit(ctx, owner, q); err != nil {
		return err
	}
	err := waitUntil(ctx, "the owner's job runs", func() (bool, error) {
		n, err := w.heldAccelerators(ctx, owner)
		return n == accelerators, err
	})
	took := time.Since(at)
	r.addPromise("guaranteed capacity can always be reclaimed", err == nil && took <= reclaimBound+time.Second,
		"%v from submission to start of the owner's gang; the bound for stopping the borrower is %v", took.Round(time.Millisecond), reclaimBound)
	w.sampleFragmentation(ctx, r)
	return err
}

// killLeader kills the leading entry VM while the owner's job runs.
func killLeader(ctx context.Context, w *cluster, _ *Report) error {
	v, err := w.leader(ctx)
	if err != nil {
		return err
	}
	v.cancel(server.ErrKilled)
	v.stopped = true
	return waitUntil(ctx, "another entry VM is the leader", func() (bool, error) {
		_, err := w.leader(ctx)
		return err == nil, err
	})
}

// runAfterFailover runs small jobs under the new leader and waits for them and the
// owner's job to end.
func runAfterFailover(ctx context.Context, w *cluster, r *Report) error {
	const smallJobs = 6
	for i := range smallJobs {
		q := responder.JobRequest{ID: fmt.Sprintf("batch-%d", i), Service: ownerService, Payload: `{"run-ms":200}`}
		if err := w.submit(ctx, owner, q); err != nil {
			return err
		}
	}
	ids := []string{"rebuild"}
	for i := range smallJobs {
		ids = append(ids, fmt.Sprintf("batch-%d", i))
	}
	for _, id := range ids {
		if err := w.awaitJob(ctx, id); err != nil {
			return err
		}
	}
	j, err := w.jobStatus(ctx, owner, "rebuild")
	if err != nil {
		return err
	}
	r.addPromise("a running job survives the loss of the leader", j.Outcome == "succeeded" && j.Attempt == 1,
		"attempt %d, %s", j.Attempt, j.Outcome)
	return nil
}

func (w *cluster) awaitJob(ctx context.Context, id string) error {
	err := waitUntil(ctx, "job "+id+" ends", func() (bool, error) {
		j, err := w.jobStatus(ctx, owner, id)
		return j.Phase == "ended", err
	})
	if err != nil {
		return err
	}
	j, err := w.jobStatus(ctx, owner, id)
	if err != nil {
		return err
	}
	if j.Outcome != "succeeded" {
		return errors.New("job " + id + " " + j.Outcome + ": " + j.Reason)
	}
	w.jobs = append(w.jobs, jobResult{id, j.Ended.Sub(j.Accepted)})
	return nil
}

// runningRequests returns the number of requests that the executors of a service run.
func (w *cluster) runningRequests(ctx context.Context, service string) (int, error) {
	n := 0
	for _, x := range w.executors[service] {
		var h standin.ExecutorHistory
		if err := w.get(ctx, x.address, "/history", &h); err != nil {
			return 0, err
		}
		for _, r := range h.Runs {
			if r.EndedMS == 0 {
				n++
			}
		}
	}
	return n, nil
}
