package partitioner

import "time"

const (
	leaderReads = 12                     // reads a second of partitions other than 0 by the leader, the limit of the specification
	idleWait    = 2 * time.Second        // of a long poll of a partition without recent records
	idleReads   = time.Second            // least time between two of these, which the store may answer early
	activeWait  = 300 * time.Millisecond // of one with recent records: a long poll that is open while the store trims the topic ends only with its wait
)

// ReadWait returns how long the leader's read of a partition other than 0 waits for a record.
func ReadWait(active bool) time.Duration {
	if active {
		return activeWait
	}
	return idleWait
}

// ReadInterval returns the least time between the starts of two reads of a partition other than
// 0 by the leader, so that it makes at most leaderReads a second. Of the given number of
// partitions, n have had records recently: they share what the others leave.
func ReadInterval(active bool, n, partitions int) time.Duration {
	if !active {
		return idleReads
	}
	left := leaderReads - float64(partitions-n)/idleWait.Seconds()
	return time.Duration(float64(n) / max(left, 1) * float64(time.Second))
}
