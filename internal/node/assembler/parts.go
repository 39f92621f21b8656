package assembler

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/partitioner"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

const (
	suspectedFor   = 4 * time.Second  // after partition 0 failed, in which VMs read the others: two more reads
	answeredLately = 3 * time.Second  // after an answer of another partition, in which this VM serves callers without partition 0: it reads them every 2 s
	recentRecords  = 10 * time.Second // after a record in which a partition counts as one that gets records
)

// parts is what this VM knows of the partitions of the topic of jobs. It is safe for concurrent
// use where it takes its lock itself.
type parts struct {
	mu             sync.Mutex
	partitioner    partitioner.Partitioner
	recovered      signal             // a partition answers again
	topicRecovered map[string]*signal // by topic: its partition 0 does
	changed        signal             // it may be time to read other partitions
	down           map[string]bool    // topics whose partition 0 can't be read
	failedAt       time.Time          // when partition 0 was last known to fail
	answeredAt     time.Time          // when another partition last answered
	readSince      map[int]time.Time  // by partition, start of the last read that succeeded
	recordAt       map[int]time.Time  // by partition, when a record was last read
	boundaries     map[int]int64      // in a term, by partition: offset up to which an earlier leader may have read
	inTerm         int                // partitions that the present leader has to read, 0 for no term
	reported       reportedParts
}

// reportedParts is what was logged last.
type reportedParts struct {
	inUse   int
	failing []int
}

// numParts returns the number of partitions of the topic of jobs.
func (a *Assembler) numParts() int { return max(1, a.Settings.Parts) }

// setClaimedParts sets the number of partitions from which the leader reads jobs. Records go to
// no others: a leader of an older version reads partition 0 only.
func (a *Assembler) setClaimedParts(n int) {
	a.parts.mu.Lock()
	defer a.parts.mu.Unlock()
	n = min(n, a.numParts())
	if n == a.parts.partitioner.Parts() {
		return
	}
	a.parts.partitioner.SetParts(n)
	a.log("elect").WithField("partitions", n).Info("number of partitions changed from which the leader reads jobs")
	a.reportParts()
}

// reportParts logs and counts changes of the partition in use and of the failing ones. The lock
// of a.parts must be held.
func (a *Assembler) reportParts() {
	p := &a.parts
	if p.partitioner.Parts() == 1 && p.reported.inUse == 0 && len(p.reported.failing) == 0 {
		return
	}
	now := reportedParts{inUse: p.partitioner.InUse()}
	for i := range p.partitioner.Parts() {
		if p.partitioner.Failing(i) {
			now.failing = append(now.failing, i)
		}
	}
	if p.partitioner.Failing(0) {
		p.failedAt = a.Now()
	}
	if now.inUse == p.reported.inUse && slices.Equal(now.failing, p.reported.failing) {
		return
	}
	l := a.log("partition").WithFields(logrus.Fields{"in-use": now.inUse, "was-in-use": p.reported.inUse, "failing": now.failing})
	if now.inUse != p.reported.inUse {
		l.Warn("submissions go to another partition")
	} else {
		l.Info("partitions that take no submissions changed")
	}
	a.metrics.Count("partition-in-use", int64(now.inUse-p.reported.inUse))
	a.metrics.Count("partitions-failing", int64(len(now.failing)-len(p.reported.failing)))
	p.reported = now
	p.wake()
}

// noteTopicState records whether partition 0 of a topic can be read. Topics that only the leader
// follows are left out: nothing tells of their recovery after its term.
func (a *Assembler) noteTopicState(topic string, up bool) {
	if topic == platform.TopicExecutors {
		return
	}
	p := &a.parts
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down == nil {
		p.down = map[string]bool{}
	}
	delete(p.down, topic)
	if !up {
		p.down[topic] = true
	}
	p.failedAt = a.Now()
	if topic == platform.WireTopic(registrar.TopicJobs) {
		if !up {
			p.partitioner.RecordFailure(a.Now(), 0)
		}
		a.reportParts()
	}
	p.wake()
}

// notePartRecovered records that a partition of a topic answers again.
func (a *Assembler) notePartRecovered(name string) {
	p := &a.parts
	p.mu.Lock()
	defer p.mu.Unlock()
	if topic, part := accessor.SplitPartition(name); topic == platform.WireTopic(registrar.TopicJobs) {
		p.partitioner.RecordReadable(a.Now(), part)
	}
	p.recovered.close()
	if c, ok := p.topicRecovered[name]; ok {
		c.close()
	}
}

// awaitRecovery returns a channel that is closed when a partition answers again.
func (p *parts) awaitRecovery() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recovered.await()
}

// awaitRecoveryOf returns a channel that is closed when partition 0 of a topic answers again.
func (p *parts) awaitRecoveryOf(topic string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.topicRecovered == nil {
		p.topicRecovered = map[string]*signal{}
	}
	c, ok := p.topicRecovered[topic]
	if !ok {
		c = &signal{}
		p.topicRecovered[topic] = c
	}
	return c.await()
}

// signal tells all who wait for it at once.
type signal struct{ c chan struct{} }

func (s *signal) await() <-chan struct{} {
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

func (s *signal) close() {
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}

// wake ends the waits for changed. The lock must be held.
func (p *parts) wake() { p.changed.close() }

// awaitChange returns a channel that is closed when it may be time to read other partitions.
func (p *parts) awaitChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed.await()
}

// suspected reports whether partition 0 fails or did lately, so that others may hold new records.
func (p *parts) suspected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.down) > 0 || p.partitioner.Failing(0) || now.Sub(p.failedAt) < suspectedFor
}

// noteAnswer records that a partition has answered. The lock must be held.
func (p *parts) noteAnswer(part int, now time.Time) {
	if part != 0 {
		p.answeredAt = now
	}
}

// otherPartsWork reports whether this VM can accept jobs without partition 0.
func (a *Assembler) otherPartsWork() bool {
	p := &a.parts
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioner.Parts() > 1 && a.Now().Sub(p.answeredAt) < answeredLately
}

// noteRead records a successful read of a partition other than 0.
func (p *parts) noteRead(part int, since, now time.Time, records int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readSince == nil {
		p.readSince, p.recordAt = map[int]time.Time{}, map[int]time.Time{}
	}
	if since.After(p.readSince[part]) {
		p.readSince[part] = since
	}
	if records > 0 {
		p.recordAt[part] = now
	}
	p.noteAnswer(part, now)
}

// readAllSince reports whether all partitions other than 0 were read after a time.
func (p *parts) readAllSince(parts int, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := 1; i < parts; i++ {
		if p.readSince[i].Before(t) {
			return false
		}
	}
	return true
}

// countActive returns the number of partitions other than 0 in which records were read lately,
// and whether one of them is the given one.
func (p *parts) countActive(now time.Time, part int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.recordAt {
		if now.Sub(at) < recentRecords {
			n++
		}
	}
	return n, now.Sub(p.recordAt[part]) < recentRecords
}

// beginTerm begins a term of this VM as the leader, which has to read all partitions.
func (p *parts) beginTerm(parts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTerm, p.boundaries = parts, map[int]int64{}
	p.wake()
}

func (p *parts) endTerm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTerm, p.boundaries = 0, nil
}

// setBoundary records that the present leader has read a partition up to an offset after its
// claim, and reports whether it has now read all.
func (p *parts) setBoundary(part int, next int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inTerm == 0 {
		return false
	}
	if _, ok := p.boundaries[part]; !ok {
		p.boundaries[part] = next
	}
	return len(p.boundaries) == p.inTerm
}

// allRead reports whether the present leader has read all partitions since its claim.
func (p *parts) allRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.boundaries) == p.inTerm
}

// inherited reports whether an earlier leader may have started a job. While a partition has not
// been read, that may hold another record of any job.
func (p *parts) inherited(e registrar.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.boundaries) < p.inTerm || e.Offset < p.boundaries[e.Part]
}

// nextOffset returns the offset of the next record of a partition of the topic of jobs.
func (a *Assembler) nextOffset(part int) int64 {
	n, _ := a.registrar.NextOffset(accessor.Partition(registrar.TopicJobs, part))
	return n
}
