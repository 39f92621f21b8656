package heartbeater_test

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Each archive holds a script and what it prints. The commands are
//
//	tick SECONDS          time passes, with a tick every half second
//	pause SECONDS         time passes without a tick
//	listed VM...          the platform's list
//	heard VM SEQ [HEARD]  a digest arrives; HEARD are VMs that it has heard
//	leaving VM SEQ        a digest arrives that says so
//	leads VM SEQ TERM SUB a digest arrives of a VM that leads
//	live, present, calls, settled, leader, missing
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			a, err := txtar.ParseFile(f)
			is.NoErr(err)
			is.Equal(run(t, string(a.Files[0].Data)), string(a.Files[1].Data))
		})
	}
}

type script struct {
	now time.Time
	s   heartbeater.State
	out strings.Builder
}

func run(t *testing.T, text string) string {
	x := &script{now: time.Unix(0, 0), s: heartbeater.New("b")}
	for line := range strings.Lines(text) {
		w := strings.Fields(line)
		if len(w) > 0 && !x.do(w[0], w[1:]) {
			t.Fatalf("unknown command: %s", line)
		}
	}
	return x.out.String()
}

func (x *script) do(command string, args []string) bool {
	switch command {
	case "tick":
		for range 2 * number(args[0]) {
			x.now = x.now.Add(time.Second / 2)
			x.s, _ = x.s.WithTick(x.now)
		}
	case "pause":
		x.now = x.now.Add(time.Duration(number(args[0])) * time.Second)
		var paused bool
		x.s, paused = x.s.WithTick(x.now)
		x.print("paused", paused)
	case "listed":
		var l []heartbeater.Listed
		for _, v := range args {
			l = append(l, heartbeater.Listed{VM: v, Address: v + ":1"})
		}
		x.s = x.s.WithListed(x.now, l)
	case "heard", "leaving":
		d := heartbeater.Digest{VM: args[0], Address: args[0] + ":2", Sequence: uint64(number(args[1])), Heard: args[2:]}
		d.Leaving = command == "leaving"
		x.s = x.s.WithHeard(x.now, d)
	case "leads":
		d := heartbeater.Digest{VM: args[0], Sequence: uint64(number(args[1])), Leading: true}
		d.Epoch = leaser.Epoch{Term: int64(number(args[2])), SubTerm: int64(number(args[3]))}
		x.s = x.s.WithHeard(x.now, d)
	case "leader":
		m, ok := x.s.Leader(x.now)
		x.print("leader", m.Digest.VM)
		x.print("known", ok)
	case "live":
		x.print("live", x.s.Live(x.now, false))
	case "present":
		x.print("present", x.s.Present(x.now))
	case "calls":
		for _, m := range x.s.Calls(x.now) {
			x.print("call", m.Address)
		}
	case "missing":
		var after time.Duration
		if m := x.s.Missing(x.now); !m.IsZero() {
			after = m.Sub(time.Unix(0, 0))
		}
		x.print("missing", after)
	case "settled":
		x.print("settled", x.s.Settled(x.now))
	default:
		return false
	}
	return true
}

func (x *script) print(what string, v any) { fmt.Fprintln(&x.out, what, v) }

func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}
