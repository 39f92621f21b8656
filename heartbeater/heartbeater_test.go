package heartbeater_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// TestMembershipScripts runs the file "script" of each archive against the membership
// of VM b and compares its output with the file "want".
func TestMembershipScripts(t *testing.T) {
	scripter.Archives(t, "testdata/*.txtar", func(t *testing.T, a scripter.Archive) {
		x := &scriptState{now: time.Unix(0, 0), s: heartbeater.New("b")}
		a.Script(t, "script").Play(t, x.commands(), nil)
		is.New(t).Equal(x.out.String(), a.Script(t, "want").Text)
	})
}

type scriptState struct {
	now time.Time
	s   heartbeater.State
	out strings.Builder
}

func (x *scriptState) commands() scripter.Commands {
	return scripter.Commands{
		"tick": func(seconds int) { // advances the clock, with a tick every half second
			for range 2 * seconds {
				x.now = x.now.Add(time.Second / 2)
				x.s, _ = x.s.WithTick(x.now)
			}
		},
		"pause": func(seconds int) { // advances the clock without a tick until its end
			x.now = x.now.Add(time.Duration(seconds) * time.Second)
			var paused bool
			x.s, paused = x.s.WithTick(x.now)
			x.print("paused", paused)
		},
		"listed": func(vms ...string) { // the platform's VM list is read
			var l []heartbeater.Listed
			for _, v := range vms {
				l = append(l, heartbeater.Listed{VM: v, Address: v + ":1"})
			}
			x.s = x.s.WithListed(x.now, l)
		},
		"heard": func(vm string, sequence uint64, heard ...string) { // receives a digest of a VM, with the VMs that it has heard
			x.s = x.s.WithHeard(x.now, heartbeater.Digest{VM: vm, Address: vm + ":2", Sequence: sequence, Heard: heard})
		},
		"leaving": func(vm string, sequence uint64) { // receives a digest of a leaving VM
			x.s = x.s.WithHeard(x.now, heartbeater.Digest{VM: vm, Address: vm + ":2", Sequence: sequence, Leaving: true})
		},
		"leads": func(vm string, sequence uint64, term, subTerm int64) { // receives a digest of a leader
			x.s = x.s.WithHeard(x.now, heartbeater.Digest{
				VM: vm, Sequence: sequence, Leading: true, Epoch: leaser.Epoch{Term: term, SubTerm: subTerm},
			})
		},
		"leader": func() {
			m, ok := x.s.Leader(x.now)
			x.print("leader", m.Digest.VM)
			x.print("known", ok)
		},
		"live":    func() { x.print("live", x.s.Live(x.now, false)) },
		"present": func() { x.print("present", x.s.Present(x.now)) },
		"calls": func() {
			for _, m := range x.s.HeartbeatTargets(x.now) {
				x.print("call", m.Address)
			}
		},
		"missing": func() {
			var after time.Duration
			if m := x.s.MissingSince(x.now); !m.IsZero() {
				after = m.Sub(time.Unix(0, 0))
			}
			x.print("missing", after)
		},
		"settled": func() { x.print("settled", x.s.Settled(x.now)) },
	}
}

func (x *scriptState) print(what string, v any) { fmt.Fprintln(&x.out, what, v) }
