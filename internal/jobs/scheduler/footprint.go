package scheduler

// Memory that a job takes on the VM that leads, in bytes. It includes what the VM keeps of the
// job to answer callers. TestFootprintCoversWhatIsAllocated compares the sum with the allocations.
const (
	jobBytes        = 2048 // the recorded and the scheduled job, and entries in maps
	occurrenceBytes = 1024 // of a scheduled job, each a job for the scheduler
	stepBytes       = 768  // of each occurrence
	recordedBytes   = 192  // of each recorded step
	taskBytes       = 320  // of each occurrence
)

// Footprint returns the bytes of memory that a job takes on the VM that leads. Other VMs need
// less.
func (j Job) Footprint() int64 {
	occurrences := int64(max(1, j.Times))
	n := int64(jobBytes + len(j.ID) + len(j.Queue) + len(j.Organisation) + len(j.Spec))
	if j.Times > 0 {
		n += occurrences * occurrenceBytes
	}
	for _, s := range j.Steps {
		n += int64(recordedBytes + len(s.Label) + len(s.DataRack) + 8*len(s.After))
		n += occurrences * (stepBytes + int64(s.Tasks)*taskBytes)
	}
	return n
}
