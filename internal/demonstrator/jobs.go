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

// The organisations and their services.
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

// configuration is what the demonstration publishes: one file for each service.
func (w *world) configuration() map[string]string {
	const form = `[organisation.%[1]s]
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
		"labels.toml": fmt.Sprintf(form, owner, w.hashes[owner], ownerService, guarantee),
		"tides.toml":  fmt.Sprintf(form, borrower, w.hashes[borrower], borrowerService, ""),
	}
}

// jobResult is what became of a job.
type jobResult struct {
	id   string
	took time.Duration // from submission to the end
}

// submit submits a job through a live entry VM.
func (w *world) submit(ctx context.Context, organisation string, q responder.JobRequest) error {
	return w.call(ctx, w.live(1), http.MethodPost, "/-/jobs", w.keys[organisation], q, nil)
}

// job returns the status of a job.
func (w *world) job(ctx context.Context, organisation, id string) (responder.JobResponse, error) {
	var j responder.JobResponse
	err := w.call(ctx, w.live(0), http.MethodGet, "/-/jobs/"+id, w.keys[organisation], nil, &j)
	return j, err
}

// held returns the accelerators that running tasks of an organisation hold, as
// the workers themselves say.
func (w *world) held(ctx context.Context, organisation string) (int, error) {
	n := 0
	for id, a := range w.workerAddrs {
		var i leaser.Inventory
		if err := w.get(ctx, a, "/inventory", &i); err != nil {
			return 0, fmt.Errorf("inventory of %s: %w", id, err)
		}
		for _, l := range i.Leases {
			if l.State == leaser.StateRunning && l.Organisation == organisation {
				n += l.Resources.Accelerators
			}
		}
	}
	return n, nil
}

// borrow runs a gang of the borrower on every accelerator there is.
func borrow(ctx context.Context, w *world, r *Report) error {
	yes := true
	q := responder.JobRequest{
		ID: "gather", Service: borrowerService, Tasks: allAccelerators, Checkpointable: &yes,
		DeclaredRunMS: checkpointableTime.Milliseconds(),
		Payload:       fmt.Sprintf(`{"run-ms":%d}`, checkpointableTime.Milliseconds()),
	}
	if err := w.submit(ctx, borrower, q); err != nil {
		return err
	}
	partial := 0
	err := until(ctx, "the whole gang runs", func() (bool, error) {
		j, err := w.job(ctx, borrower, q.ID)
		if err != nil {
			return false, err
		}
		n, err := w.held(ctx, borrower)
		if j.Phase == "running" && n < allAccelerators {
			partial++
		}
		return j.Phase == "running" && n == allAccelerators, err
	})
	r.promise("a gang runs whole or not at all", err == nil && partial == 0, "%d tasks run, %d times seen in part while called running", allAccelerators, partial)
	return err
}

// reclaim has the owner call for its guaranteed shape.
func reclaim(ctx context.Context, w *world, r *Report) error {
	q := responder.JobRequest{
		ID: "rebuild", Service: ownerService, Tasks: accelerators, Adjacency: placer.AdjacencyWorker,
		DeclaredRunMS: 1000, Payload: `{"run-ms":8000}`,
	}
	at := time.Now()
	if err := w.submit(ctx, owner, q); err != nil {
		return err
	}
	err := until(ctx, "the owner's job runs", func() (bool, error) {
		n, err := w.held(ctx, owner)
		return n == accelerators, err
	})
	took := time.Since(at)
	r.promise("guaranteed capacity can always be reclaimed", err == nil && took <= reclaimBound+time.Second,
		"%v from the call to the start of the owner's gang; the bound for the borrower to be gone is %v", took.Round(time.Millisecond), reclaimBound)
	w.sampleFragmentation(ctx, r)
	return err
}

// killLeader kills the leading entry VM while the owner's job runs.
func killLeader(ctx context.Context, w *world, _ *Report) error {
	v, err := w.leader(ctx)
	if err != nil {
		return err
	}
	v.end(server.ErrKilled)
	v.dead = true
	return until(ctx, "another entry VM leads", func() (bool, error) {
		_, err := w.leader(ctx)
		return err == nil, err
	})
}

// goOn waits for the owner's job to end, and runs small ones.
func goOn(ctx context.Context, w *world, r *Report) error {
	const small = 6
	for i := range small {
		q := responder.JobRequest{ID: fmt.Sprintf("batch-%d", i), Service: ownerService, Payload: `{"run-ms":200}`}
		if err := w.submit(ctx, owner, q); err != nil {
			return err
		}
	}
	ids := []string{"rebuild"}
	for i := range small {
		ids = append(ids, fmt.Sprintf("batch-%d", i))
	}
	for _, id := range ids {
		if err := w.awaitEnd(ctx, id); err != nil {
			return err
		}
	}
	j, err := w.job(ctx, owner, "rebuild")
	if err != nil {
		return err
	}
	r.promise("a running job survives the death of the leader", j.Outcome == "succeeded" && j.Attempt == 1,
		"attempt %d, %s", j.Attempt, j.Outcome)
	return nil
}

func (w *world) awaitEnd(ctx context.Context, id string) error {
	err := until(ctx, "job "+id+" ends", func() (bool, error) {
		j, err := w.job(ctx, owner, id)
		return j.Phase == "ended", err
	})
	if err != nil {
		return err
	}
	j, err := w.job(ctx, owner, id)
	if err != nil {
		return err
	}
	if j.Outcome != "succeeded" {
		return errors.New("job " + id + " " + j.Outcome + ": " + j.Reason)
	}
	w.jobs = append(w.jobs, jobResult{id, j.Ended.Sub(j.Accepted)})
	return nil
}

// busy returns how many requests the executors of a service run.
func (w *world) busy(ctx context.Context, service string) (int, error) {
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
