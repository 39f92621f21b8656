package assembler

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/evacuator"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// evacuations holds the evacuated availability zones as this VM has read them. It is safe for
// concurrent use.
type evacuations struct {
	mu    sync.Mutex // serialises changes
	state atomic.Pointer[evacuator.Evacuator]
	seen  atomic.Pointer[scheduler.EvacuationsReported] // by the scheduler of this VM, nil while it does not lead
}

// load returns the present state.
func (e *evacuations) load() evacuator.Evacuator {
	if v := e.state.Load(); v != nil {
		return *v
	}
	return evacuator.Evacuator{}
}

// apply applies records of the operator and reports whether the evacuated zones have changed.
func (e *evacuations) apply(now time.Time, b tailer.Batch, malformed func(key string, offset int64, err error)) bool {
	n := evacuator.Batch{Snapshot: b.Snapshot, Next: b.Next}
	for _, r := range b.Records {
		v, ok, err := platform.DecodeEvacuation(r)
		if err != nil {
			malformed(r.Key, r.Offset, err)
		}
		if ok {
			n.Records = append(n.Records, v)
		}
	}
	if len(n.Records) == 0 && !n.Snapshot {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.load()
	v := old.With(now, n)
	e.state.Store(&v)
	return v.Revision() != old.Revision()
}

// event returns the evacuated zones as an event for the scheduler.
func (e *evacuations) event() scheduler.EvacuationsChanged {
	v := e.load()
	return scheduler.EvacuationsChanged{Revision: v.Revision(), Zones: v.Evacuations()}
}

// wireEvacuations is the response to a request for the evacuated zones.
type wireEvacuations struct {
	Zones []wireZone `json:"zones"`
}

type wireZone struct {
	Zone    string    `json:"zone"`
	Since   time.Time `json:"since"`             // when this VM first read the record
	Offset  int64     `json:"offset"`            // of the record
	Workers *int      `json:"workers,omitempty"` // in the zone; only the leader knows
	Runs    *int      `json:"runs,omitempty"`    // left in the zone; only the leader knows
}

// ServeHTTP lists the evacuated zones.
func (e *evacuations) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	byZone := map[string]scheduler.EvacuatedZone{}
	if seen := e.seen.Load(); seen != nil {
		for _, z := range seen.Zones {
			byZone[z.Zone] = z
		}
	}
	body := wireEvacuations{Zones: []wireZone{}}
	for _, v := range e.load().Evacuations() {
		z := wireZone{Zone: v.Zone, Since: v.Since, Offset: v.Offset}
		if n, ok := byZone[v.Zone]; ok {
			z.Workers, z.Runs = &n.Workers, &n.Runs
		}
		body.Zones = append(body.Zones, z)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client disconnected
}
