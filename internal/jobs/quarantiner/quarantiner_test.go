package quarantiner_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
)

func init() {
	_ = flag.Set("rapid.seed", "20261205") // the same result in every run; the command line may override it
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestNoThirdStartAfterThreeCrashes draws crashes under one task, in outages, reported twice,
// and one that no leader knew of.
func TestNoThirdStartAfterThreeCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r quarantiner.Record
		missed, starts := rapid.IntRange(0, 2).Draw(t, "missed"), 0
		for run := int64(1); r.Level() != quarantiner.GivenUp; run++ {
			if starts++; starts > 5 {
				t.Fatalf("start %d of %+v", starts, r)
			}
			if int(run) == missed { // only a first crash can be missed: later starts are stored
				continue
			}
			outage := rapid.Bool().Draw(t, "outage") && missed == 0
			alone := rapid.Bool().Draw(t, "alone")
			r = r.WithOpen(quarantiner.Start{Run: run})
			for range rapid.IntRange(1, 2).Draw(t, "reports") {
				r = r.WithCrash(run, alone, outage)
			}
		}
	})
}

// TestTwoCrashesProveNothing guards against giving up a task that was twice where a worker
// crashed for another cause.
func TestTwoCrashesProveNothing(t *testing.T) {
	i := is.New(t)
	r := quarantiner.Record{}.WithCrash(1, true, false).WithCrash(2, true, false).WithCrash(2, true, false)
	i.Equal(r.Level(), quarantiner.Alone)
	i.Equal(quarantiner.Record{}.WithCrash(1, true, true).Level(), quarantiner.Anywhere) // an outage
	i.Equal(r.WithCrash(3, true, false).Level(), quarantiner.GivenUp)
}

// TestOutageBlamesNoTask checks that crashes of workers that had started nothing excuse the
// others at the time, and that crashes caused by tasks excuse none.
func TestOutageBlamesNoTask(t *testing.T) {
	i := is.New(t)
	at := time.Unix(1000, 0)
	var byTasks, zone quarantiner.Outage
	for k := range 8 {
		at = at.Add(100 * time.Millisecond)
		i.True(!byTasks.Add(quarantiner.Crash{At: at, Fresh: k > 0}))
		zone.Add(quarantiner.Crash{At: at, Fresh: k%2 > 0})
	}
	i.True(zone.Add(quarantiner.Crash{At: at, Fresh: true}))
	i.True(!zone.Add(quarantiner.Crash{At: at.Add(time.Minute), Fresh: true}))
}
