package assembler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
)

// Hundreds of workers that count down after an evacuation must not cause a decision with each
// entry, and one whose countdown has not begun must not seem warm.
func TestCountdownOfAColdWorkerChangesTheListOnlyAgainstItsOwnTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	w := &workerList{now: func() time.Time { return now }}
	entry := func(after time.Duration, coldMS int) bool {
		now = now.Add(after)
		value := fmt.Sprintf(`{"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready","coldRemainingMs":%d,"capacity":{"cpu":1,"memMb":1,"gpu":0},"labels":["a","r1-3"],"born":1}`, coldMS)
		return w.apply(tailer.Batch{Records: []accessor.Record{{Key: "x", Value: []byte(value)}}}, func(string, int64, error) { t.Error("malformed") })
	}
	is.True(entry(0, 6000))
	is.True(!entry(1500*time.Millisecond, 4500))
	is.True(!entry(1700*time.Millisecond, 3000)) // read late
	is.True(entry(1500*time.Millisecond, 3000))  // it has stopped counting
	is.Equal(w.byID["x"].ColdUntil, now.Add(3*time.Second))
	is.True(entry(1500*time.Millisecond, 0)) // it is warm earlier than it said
	is.True(w.byID["x"].ColdUntil.IsZero())
	is.True(!entry(1500*time.Millisecond, 0))
}
