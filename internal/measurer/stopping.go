package measurer

import (
	"time"
)

// Stop stops a running job at once; it loses its work since its last checkpoint.
func (d *Driver) Stop(j *Job) {
	if !j.Running {
		return
	}
	d.lose(j, true)
	d.release(j)
	d.policy.Ended(d, j, EndStopped)
}

// Checkpoint tells a running job to save its work and stop, and stops it after
// the grace if it has not done so.
func (d *Driver) Checkpoint(j *Job, grace time.Duration) {
	attempt := j.attempts
	in := grace
	saved := j.Job.Checkpointable && j.CheckpointTime <= grace
	if saved {
		in = j.CheckpointTime
	}
	asked := d.Now
	d.After(in, func() {
		if !j.Running || j.attempts != attempt {
			return
		}
		if saved {
			d.Save(j, asked)
			return
		}
		d.Stop(j)
	})
}

// Save keeps the work that a running job had done by asked, and stops the job.
func (d *Driver) Save(j *Job, asked time.Time) {
	j.done += asked.Sub(j.Started)
	j.Started = asked
	d.Stop(j)
}

// Abandon notes that the policy ended a job which did not succeed.
func (d *Driver) Abandon(j *Job) {
	if j.Finished.IsZero() && !j.Cancelled && !j.Abandoned {
		j.Abandoned = true
		d.open--
	}
}

// Lost returns the accelerator-seconds that a running job would lose if it were
// stopped now.
func (d *Driver) Lost(j *Job) float64 {
	ran := d.Now.Sub(j.Started)
	if j.Job.Checkpointable {
		ran %= checkpointEvery
	}
	return ran.Seconds() * float64(j.Job.Gang.Total().Accelerators)
}

func (d *Driver) lose(j *Job, byPolicy bool) {
	lost := d.Lost(j)
	j.Lost += lost
	if byPolicy {
		j.LostStop += lost
	}
	if j.Job.Checkpointable {
		j.done += d.Now.Sub(j.Started).Truncate(checkpointEvery)
	}
}
