package assembler

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// Guards against speeds that the next leader does not get, against an older record that
// replaces a newer one, and against a leader that does not start for want of a good record.
func TestSpeedsReachTheNextLeader(t *testing.T) {
	is := is.New(t)
	a := newLeader()
	var records []accessor.Record
	var down error
	a.store = accessor.Client{
		Append: func(_ context.Context, v accessor.Append) (int64, error) {
			is.Equal(v.Topic, platform.WireTopic("speeds"))
			records = v.Records
			return 0, down
		},
		Newest: func(context.Context, string) ([]accessor.Record, int64, error) { return records, 1, down },
	}
	speeds := func(log float64) profiler.Record {
		return profiler.Record{Zones: map[string]profiler.Entry{"z": {Log: log, Weight: 2}}}
	}
	is.Equal(a.readSpeeds(t.Context()), profiler.Record{})
	a.reportSpeeds(t.Context(), scheduler.ReportSpeeds{Epoch: 1, Number: 2, Speeds: speeds(0.5), Store: true})
	a.reportSpeeds(t.Context(), scheduler.ReportSpeeds{Epoch: 1, Number: 1, Speeds: speeds(0.4), Store: true})
	a.reportSpeeds(t.Context(), scheduler.ReportSpeeds{Epoch: 1, Number: 3, Speeds: speeds(0.3)})
	is.Equal(a.readSpeeds(t.Context()), speeds(0.5))
	records[0].Value = []byte("{")
	is.Equal(a.readSpeeds(t.Context()), profiler.Record{})
	down = accessor.ErrNotDone
	is.Equal(a.readSpeeds(t.Context()), profiler.Record{})
}
