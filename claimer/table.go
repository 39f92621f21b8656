package claimer

import "time"

// Result is what the table says of a claim.
type Result string

// The results of a claim.
const (
	ResultGranted  Result = "granted"  // it holds the key
	ResultHeld     Result = "held"     // an earlier claim holds the key
	ResultVoid     Result = "void"     // it was released, or came too late
	ResultUnjudged Result = "unjudged" // an earlier claim may stand among records that were not seen
	ResultNone     Result = ""         // the record is not a claim
)

// sweepFraction is the part of Keep between two removals of entries that no
// longer count.
const sweepFraction = 16

// Table tells who holds each key, from the records of the stream in log order.
// It has one owner at a time. All readers that can judge a claim agree on it.
type Table struct {
	Keep time.Duration // from the mint time of a key until its claims are void
	Skew time.Duration // largest difference between any two clocks

	holders map[string]Claim     // by hash of the key
	void    map[string]time.Time // mint times of the keys of claims that lost or were released, by id
	clock   time.Time            // latest time of the log that was seen
	swept   time.Time            // when entries were last removed, by clock
	since   time.Time            // every record after this time was seen; zero when not known
	gap     bool                 // records were missed, so since counts
	next    int64                // offset of the next record to apply
}

// NewTable returns the table before the first record of the stream.
func NewTable(keep, skew time.Duration) *Table {
	return &Table{
		Keep: keep, Skew: skew, next: 1,
		holders: map[string]Claim{}, void: map[string]time.Time{},
	}
}

// First tells the lowest offset that the log still keeps.
func (t *Table) First(first int64) {
	if first <= t.next {
		return
	}
	t.next = first
	t.lose()
}

// Skip passes over a record that could not be decoded. It may have been a claim
// that others could read, so the keys of its time can't be judged any more.
func (t *Table) Skip(offset int64) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.lose()
}

func (t *Table) lose() { t.gap, t.since = true, time.Time{} }

// Judges reports whether every record was seen that could claim a key of this
// mint time.
func (t *Table) Judges(minted time.Time) bool {
	if !t.gap {
		return true
	}
	// The VM's clock is at most one skew ahead of the caller's when it admits the
	// key, and the log's at most one behind the VM's.
	return !t.since.IsZero() && minted.Add(-2*t.Skew).After(t.since)
}

// Covered reports whether the table knows from what time on it can judge.
func (t *Table) Covered() bool { return !t.gap || !t.since.IsZero() }

// Latest returns the latest time of the log's clock that was seen.
func (t *Table) Latest() time.Time { return t.clock }

// Holder returns the claim that holds the key of a hash.
func (t *Table) Holder(hash string) (Claim, bool) {
	c, ok := t.holders[hash]
	return c, ok
}

// Len returns the number of keys that are held.
func (t *Table) Len() int { return len(t.holders) }

// Apply takes the record at offset, appended at a time of the log's clock, and
// returns what it means when it is a claim. A record that was applied before
// changes nothing.
func (t *Table) Apply(offset int64, appended time.Time, r Record) Result {
	if offset < t.next {
		return ResultNone
	}
	t.First(offset)
	t.next = offset + 1
	if appended.After(t.clock) {
		t.clock = appended
	}
	if t.gap && t.since.IsZero() {
		t.since = t.clock
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
		t.void[c.ID] = c.Minted // a second copy must not win once the key is released
		return ResultHeld
	}
	if !t.Judges(c.Minted) {
		return ResultUnjudged
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

// expired reports whether claims of keys of this mint time are void, by the
// clock of the log.
func (t *Table) expired(minted time.Time) bool { return t.clock.Sub(minted) > t.Keep }

// sweep removes what no longer counts, now and then.
func (t *Table) sweep() {
	if t.clock.Sub(t.swept) < t.Keep/sweepFraction {
		return
	}
	t.swept = t.clock
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
