package claimer

import "time"

// Result is the table's decision on a claim.
type Result string

// The results of a claim.
const (
	ResultGranted           Result = "granted"  // the claim holds the key
	ResultHeld              Result = "held"     // an earlier claim holds the key
	ResultVoid              Result = "void"     // the claim was released or has expired
	ResultHistoryIncomplete Result = "unjudged" // records that were not read may contain an earlier claim
	ResultNone              Result = ""         // the record is not a claim
)

// sweepsPerRetention is the number of times that expired entries are removed during
// Retention.
const sweepsPerRetention = 16

// Table tracks the holder of each key from the records of the stream in log order.
// It is not safe for concurrent use. All readers that can decide on a claim reach
// the same decision.
type Table struct {
	Retention time.Duration // from the mint time of a key until its claims expire
	Skew      time.Duration // greatest difference between any two clocks

	holders       map[string]Claim     // by key hash
	void          map[string]time.Time // mint times of the keys of rejected and released claims, by claim id
	logTime       time.Time            // latest time by the log's clock
	lastSweep     time.Time            // when expired entries were last removed, by logTime
	completeSince time.Time            // every record after this time was read; zero when unknown; only used if hasGap
	hasGap        bool                 // some records were missed
	next          int64                // offset of the next record to apply
}

// NewTable returns the table before the first record of the stream.
func NewTable(retention, skew time.Duration) *Table {
	return &Table{
		Retention: retention, Skew: skew, next: 1,
		holders: map[string]Claim{}, void: map[string]time.Time{},
	}
}

// SetFirstOffset sets the lowest offset that the log still keeps.
func (t *Table) SetFirstOffset(first int64) {
	if first <= t.next {
		return
	}
	t.next = first
	t.markGap()
}

// SkipUndecodable moves past a record that could not be decoded. It may have been a
// claim that other readers understood, so keys of its time can no longer be decided.
func (t *Table) SkipUndecodable(offset int64) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.markGap()
}

func (t *Table) markGap() { t.hasGap, t.completeSince = true, time.Time{} }

// CompleteFor reports whether every record that could claim a key minted at this
// time was read.
func (t *Table) CompleteFor(minted time.Time) bool {
	if !t.hasGap {
		return true
	}
	// When the VM accepts the key, its clock is at most one skew ahead of the caller's,
	// and the log's clock is at most one skew behind the VM's.
	return !t.completeSince.IsZero() && minted.Add(-2*t.Skew).After(t.completeSince)
}

// CompleteSinceKnown reports whether the table knows since when it has read every
// record.
func (t *Table) CompleteSinceKnown() bool { return !t.hasGap || !t.completeSince.IsZero() }

// LogTime returns the latest time by the log's clock.
func (t *Table) LogTime() time.Time { return t.logTime }

// Holder returns the claim that holds the key with the given hash.
func (t *Table) Holder(hash string) (Claim, bool) {
	c, ok := t.holders[hash]
	return c, ok
}

// Len returns the number of held keys.
func (t *Table) Len() int { return len(t.holders) }

// Apply applies the record at offset, appended at the given time by the log's clock,
// and returns the decision if it is a claim. A record that was already applied is
// ignored.
func (t *Table) Apply(offset int64, appended time.Time, r Record) Result {
	if offset < t.next {
		return ResultNone
	}
	t.SetFirstOffset(offset)
	t.next = offset + 1
	if appended.After(t.logTime) {
		t.logTime = appended
	}
	if t.hasGap && t.completeSince.IsZero() {
		t.completeSince = t.logTime
	}
	t.sweep()
	switch c := r.(type) {
	case Claim:
		return t.claim(c)
	case Release:
		t.release(c)
	}
	return ResultNone
}

func (t *Table) claim(c Claim) Result {
	if _, ok := t.void[c.ID]; ok || t.expired(c.Minted) {
		return ResultVoid
	}
	h, held := t.holders[c.Key]
	if !held {
		t.holders[c.Key] = c
	}
	if held && h.ID != c.ID {
		t.void[c.ID] = c.Minted // a duplicate must not be granted after the key is released
		return ResultHeld
	}
	if !t.CompleteFor(c.Minted) {
		return ResultHistoryIncomplete
	}
	return ResultGranted
}

func (t *Table) release(r Release) {
	if t.expired(r.Minted) {
		return
	}
	t.void[r.ID] = r.Minted
	if t.holders[r.Key].ID == r.ID {
		delete(t.holders, r.Key)
	}
}

// expired reports whether claims of keys minted at this time are void by the log's
// clock.
func (t *Table) expired(minted time.Time) bool { return t.logTime.Sub(minted) > t.Retention }

// sweep periodically removes expired entries.
func (t *Table) sweep() {
	if t.logTime.Sub(t.lastSweep) < t.Retention/sweepsPerRetention {
		return
	}
	t.lastSweep = t.logTime
	for k, c := range t.holders {
		if t.expired(c.Minted) {
			delete(t.holders, k)
		}
	}
	for id, m := range t.void {
		if t.expired(m) {
			delete(t.void, id)
		}
	}
}
