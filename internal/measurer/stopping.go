package measurer

import (
	"time"
)

// Stop stops a running job immediately; work since its last checkpoint is lost.
func (d *Driver) Stop(j *Job) {
	if !j.Running {
		return
	}
	d.recordLoss(j, true)
	d.release(j)
	d.policy.Ended(d, j, EndStopped)
}

// Checkpoint tells a running job to checkpoint and stop, and stops it after the
// grace period if it has not done so.
func (d *Driver) Checkpoint(j *Job, grace time.Duration) {
	attempt := j.attempts
	delay := grace
	saved := j.Job.Checkpointable && j.CheckpointTime <= grace
	if saved {
		delay = j.CheckpointTime
	}
	asked := d.Now
	d.After(delay, func() {
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

// Save checkpoints the work that a running job had done by asked, and stops the job.
func (d *Driver) Save(j *Job, asked time.Time) {
	j.checkpointed += asked.Sub(j.Started)
	j.Started = asked
	d.Stop(j)
}

// Abandon records that the policy ended a job without success.
func (d *Driver) Abandon(j *Job) {
	if j.Finished.IsZero() && !j.Cancelled && !j.Abandoned {
		j.Abandoned = true
		d.unfinished--
	}
}

// Lost returns the work, in accelerator-seconds, that a running job would lose if
// it were stopped now.
func (d *Driver) Lost(j *Job) float64 {
	ran := d.Now.Sub(j.Started)
	if j.Job.Checkpointable {
		ran %= checkpointInterval
	}
	return ran.Seconds() * float64(j.Job.Gang.Total().Accelerators)
}

func (d *Driver) recordLoss(j *Job, byPolicy bool) {
	lost := d.Lost(j)
	j.Lost += lost
	if byPolicy {
		j.LostToStops += lost
	}
	if j.Job.Checkpointable {
		j.checkpointed += d.Now.Sub(j.Started).Truncate(checkpointInterval)
	}
}
