package scheduler

import "time"

// Memory that a job takes on the VM that leads, in bytes. It includes what the VM keeps of the
// job to answer callers. TestFootprintCoversWhatIsAllocated compares the sum with the allocations.
const (
	jobBytes        = 1280 // the recorded and the scheduled job, and entries in maps
	occurrenceBytes = 1024 // of a scheduled job, each a job for the scheduler
	stepBytes       = 768  // of each occurrence
	recordedBytes   = 192  // of each recorded step
	taskBytes       = 320  // of each occurrence
	numberBytes     = 8
)

// textBytes returns the bytes that a string takes, which the allocator rounds up by an eighth at most.
func textBytes(s string) int64 { return int64(len(s) + len(s)/8) }

// WithoutSteps returns what is needed of a job that has ended and whose runs are gone.
func (j Job) WithoutSteps() Job {
	j.Spec, j.Steps = "", nil
	return j
}

// StepsNeeded reports whether the steps of a job with a given progress may still be needed.
func (p Progress) StepsNeeded(now time.Time) bool {
	return !p.State.Ended() || now.Sub(time.UnixMilli(p.EndedMS)) <= endedTaskRetention
}

// Footprint returns the bytes of memory that a job takes on the VM that leads. Other VMs need
// less.
func (j Job) Footprint() int64 {
	occurrences := int64(max(1, j.Times))
	n := jobBytes + textBytes(j.ID) + textBytes(j.Queue) + textBytes(j.Organisation) + textBytes(j.Spec)
	if j.Times > 0 {
		n += occurrences * occurrenceBytes
	}
	for _, s := range j.Steps {
		n += recordedBytes + textBytes(s.Label) + textBytes(s.DataRack) + int64(numberBytes*len(s.After))
		n += occurrences * (stepBytes + int64(s.Tasks)*taskBytes)
	}
	return n
}
