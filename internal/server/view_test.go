package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
)

// TestVMsWithoutTheLogAreNotLive guards against a leader that keeps leading after it
// alone has lost the log, and against excluding all VMs when the log itself is down.
func TestVMsWithoutTheLogAreNotLive(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		logUp   bool          // of this VM
		down    time.Duration // of the leader, as reported by it
		elapsed time.Duration // since that report
		want    []string
	}{
		{"all VMs have the log", true, 0, time.Second, []string{"a", "b"}},
		{"the leader lacks the log for less than the limit", true, 2 * time.Second, time.Second, []string{"a", "b"}},
		{"the leader lacks the log for more than the limit", true, 5 * time.Second, time.Second, []string{"b"}},
		{"only this VM lacks the log", false, 0, time.Second, []string{"a"}},
		{"both VMs lack the log", false, time.Minute, time.Second, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := heartbeater.New("b").WithHeard(now, heartbeater.Digest{VM: "a", Sequence: 1, LogDownFor: c.down})
			v := &view{self: "b", members: m, logUp: c.logUp}
			later := now.Add(c.elapsed)
			is.Equal(v.excludeWithoutLog(later, m.Live(later, false)), c.want)
		})
	}
}
