package profiler

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	maxRecorded    = 64   // entries of each level in a record; those that differ least from the level above are left out
	minRecorded    = 0.05 // logarithm of the speed below which a rack or worker is left out
	recordedWeight = 8.0  // samples that an entry counts as at most for the next leader, which may find other speeds
	recordDigits   = 1000 // inverse of the precision of recorded logarithms
)

// Record is what a leader stores for the next one: the logarithms of speeds, by name.
type Record struct {
	Zones   map[string]Entry `json:"zones,omitempty"`
	Racks   map[string]Entry `json:"racks,omitempty"`
	Workers map[string]Entry `json:"workers,omitempty"`
}

// Entry is what a zone, rack or worker adds to the logarithm of the speed, and the number of
// samples that tell so.
type Entry struct {
	Log    float64 `json:"log"`
	Weight float64 `json:"n"`
}

// ErrRecord says that a record holds no speeds.
var ErrRecord = errors.New("record of speeds out of range")

// Record returns what was learnt. Its size is bounded.
func (p *Profiler) Record() Record {
	return Record{Zones: p.zones.record(0), Racks: p.racks.record(minRecorded), Workers: p.workers.record(minRecorded)}
}

func (l *level) record(least float64) map[string]Entry {
	var all []node
	for _, n := range l.nodes {
		if n.weight > 0 && math.Abs(n.value) >= least {
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b node) int {
		return cmp.Or(cmp.Compare(math.Abs(b.value), math.Abs(a.value)), cmp.Compare(a.name, b.name))
	})
	out := map[string]Entry{}
	for _, n := range all[:min(len(all), maxRecorded)] {
		out[n.name] = Entry{Log: math.Round(n.value*recordDigits) / recordDigits, Weight: math.Round(min(n.weight, recordedWeight))}
	}
	return out
}

// Differs reports whether the speed of any zone, rack or worker in one of the records differs
// by more than the given ratio from that in the other one.
func (r Record) Differs(o Record, ratio float64) bool {
	return differs(r.Zones, o.Zones, ratio) || differs(r.Racks, o.Racks, ratio) || differs(r.Workers, o.Workers, ratio)
}

func differs(a, b map[string]Entry, ratio float64) bool {
	for name, e := range a {
		if math.Abs(e.Log-b[name].Log) > math.Log(ratio) {
			return true
		}
	}
	for name, e := range b {
		if _, ok := a[name]; !ok && math.Abs(e.Log) > math.Log(ratio) {
			return true
		}
	}
	return false
}

// DecodeRecord decodes a stored record.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("decode speeds: %w", err)
	}
	for _, all := range []map[string]Entry{r.Zones, r.Racks, r.Workers} {
		if len(all) > maxRecorded {
			return Record{}, ErrRecord
		}
		for _, e := range all {
			if math.Abs(e.Log) > maxLogSpeed || e.Weight < 0 || e.Weight > recordedWeight {
				return Record{}, ErrRecord
			}
		}
	}
	return r, nil
}

// Restore begins with what an earlier leader has learnt. It is called before the first sample.
func (p *Profiler) Restore(r Record) {
	p.zones.restore(r.Zones)
	p.racks.restore(r.Racks)
	p.workers.restore(r.Workers)
	if len(r.Zones) > 0 {
		p.number = minKnown
	}
}

func (l *level) restore(all map[string]Entry) {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n := &l.nodes[l.find(name)]
		n.value, n.past, n.pastWeight = all[name].Log, all[name].Log, all[name].Weight
	}
}
