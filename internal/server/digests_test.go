package server

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// beats has each pair of VMs exchange n heartbeats, and returns the bytes that one
// VM sends and receives for each round of them.
func (c *scene) beats(t *testing.T, wires []*countingListener, n int) float64 {
	t.Helper()
	for _, l := range wires {
		l.bytes.Store(0)
	}
	for range n {
		for i, s := range c.servers {
			for j := range i {
				s.beatOne(t.Context(), wires[j].Addr().String())
			}
		}
	}
	all := 0.0
	for _, l := range wires {
		all += float64(l.bytes.Load())
	}
	return 2 * all / float64(n*len(c.servers)) // what one sends another receives
}

// wired returns VMs that serve each other.
func wired(t *testing.T, vms int) (*scene, []*countingListener) {
	t.Helper()
	key, err := authenticator.NewPeer([]byte("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"))
	is.New(t).NoErr(err)
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	c := newScene(names, nil)
	var wires []*countingListener
	for _, s := range c.servers {
		s.peerKey, s.peers = key, peerClient()
		s.Settings.Zone, s.incarnation = "sul-1", 1<<60
		l := serveCounted(t, s.peerHandler())
		s.peersAddress = l.Addr().String()
		wires = append(wires, l)
	}
	return c, wires
}

func TestHeartbeatsTakeFewBytes(t *testing.T) {
	for _, gangs := range []int{0, 10, 40} {
		t.Run(fmt.Sprintf("gangs=%d", gangs), func(t *testing.T) {
			c, wires := wired(t, 8)
			for _, s := range c.servers {
				s.renewer.readings = renewing(c.now, gangs, 8, 64).readings
			}
			first := c.beats(t, wires, 1)
			later := c.beats(t, wires, 10)
			t.Logf("bytes of one VM for each round: %.0f at first, %.0f later", first, later)
			is.New(t).True(later <= 2000)
		})
	}
}

func TestBriefHeartbeatsSayAsMuchAsWholeOnes(t *testing.T) {
	is := is.New(t)
	c, wires := wired(t, 2)
	a, b := c.servers[0], c.servers[1]
	heard := func() heartbeater.Digest {
		t.Helper()
		select {
		case m := <-b.inbox:
			return m.(heardMessage).digest
		default:
			t.Fatal("b has heard nothing")
			return heartbeater.Digest{}
		}
	}
	beat := func() heartbeater.Digest {
		t.Helper()
		a.beatOne(t.Context(), wires[1].Addr().String())
		return heard()
	}
	first := beat()
	is.Equal(first.Zone, "sul-1")
	second := beat() // brief
	is.True(second.Sequence > first.Sequence)
	second.Sequence = first.Sequence
	is.Equal(second, first)

	// what has changed comes with the next one
	a.renewer.readings = renewing(c.now, 3, 8, 64).readings
	a.leaving.Store(true)
	is.True(beat().Leaving)
	is.Equal(len(b.renewer.others["entry-1"].Gangs), 3)
	is.True(beat().Leaving)
	is.Equal(len(b.renewer.others["entry-1"].Gangs), 3)

	// one that has started anew is told the whole, within the same heartbeat
	b.digests = newDigests()
	is.Equal(beat().Zone, "sul-1")

	// so is one that holds another digest
	b.digests.held["entry-1"] = &peerv1.Digest{Vm: "entry-1", Mark: 7}
	is.Equal(beat().Zone, "sul-1")

	// either side may call
	b.beatOne(t.Context(), wires[0].Addr().String())
	is.Equal(heard().VM, "entry-1")
	b.beatOne(t.Context(), wires[0].Addr().String())
	is.True(heard().Leaving)
	is.Equal(len(b.inbox), 0)
}
