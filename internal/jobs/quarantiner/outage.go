package quarantiner

import "time"

const (
	outageWindow  = 2 * time.Second // between the crashes of one outage: workers are read every 350 ms, and restart within about a second of each other
	minUnblamed   = 2               // crashes without a fresh run that make an outage
	unblamedShare = 4               // at least one crash in unblamedShare is without a fresh run
)

// Crash is the end of a worker without notice.
type Crash struct {
	At    time.Time
	Fresh bool // a run on it had not outlived Window
}

// Outage tells crashes of one common cause, as of a zone or a switch, from crashes caused by
// tasks: it also hits workers that have started nothing lately. It is not safe for
// concurrent use.
type Outage struct{ recent []Crash }

// Add adds a crash and reports whether it belongs to an outage, so that no task is to blame.
func (o *Outage) Add(c Crash) bool {
	kept := o.recent[:0]
	for _, v := range append(o.recent, c) {
		if c.At.Sub(v.At) <= outageWindow {
			kept = append(kept, v)
		}
	}
	o.recent = kept
	unblamed := 0
	for _, v := range o.recent {
		if !v.Fresh {
			unblamed++
		}
	}
	return unblamed >= minUnblamed && unblamed*unblamedShare >= len(o.recent)
}
