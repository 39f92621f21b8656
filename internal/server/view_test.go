package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
)

func TestALeaderThatAloneLostTheLogDoesNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		logUp   bool          // of this VM
		down    time.Duration // of the leader, as it said
		elapsed time.Duration // since it said so
		want    []string
	}{
		{"all have the log", true, 0, time.Second, []string{"a", "b"}},
		{"the leader has just lost it", true, 2 * time.Second, time.Second, []string{"a", "b"}},
		{"the leader lost it a while ago", true, 5 * time.Second, time.Second, []string{"b"}},
		{"this VM alone has lost it", false, 0, time.Second, []string{"a"}},
		{"it is down for this VM too", false, time.Minute, time.Second, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := heartbeater.New("b").WithHeard(now, heartbeater.Digest{VM: "a", Sequence: 1, LogDown: c.down})
			v := &view{self: "b", members: m, logUp: c.logUp}
			later := now.Add(c.elapsed)
			is.Equal(v.withoutCutOff(later, m.Live(later, false)), c.want)
		})
	}
}
