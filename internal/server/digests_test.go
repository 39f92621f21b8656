package server

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// exchangeHeartbeats makes each pair of VMs exchange n heartbeats and returns the
// bytes that one VM sends and receives per round.
func (c *testCluster) exchangeHeartbeats(t *testing.T, listeners []*countingListener, n int) float64 {
	t.Helper()
	for _, l := range listeners {
		l.bytes.Store(0)
	}
	for range n {
		for i, s := range c.servers {
			for j := range i {
				s.exchangeHeartbeat(t.Context(), listeners[j].Addr().String())
			}
		}
	}
	total := 0.0
	for _, l := range listeners {
		total += float64(l.bytes.Load())
	}
	return 2 * total / float64(n*len(c.servers)) // each byte is sent by one VM and received by another
}

// newHTTPCluster returns VMs that serve each other over loopback HTTP.
func newHTTPCluster(t *testing.T, vms int) (*testCluster, []*countingListener) {
	t.Helper()
	key, err := authenticator.NewPeerAuthenticator([]byte("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"))
	is.New(t).NoErr(err)
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	c := newTestCluster(names, nil)
	var listeners []*countingListener
	for _, s := range c.servers {
		s.peerAuthenticator, s.peers = key, peerClient()
		s.Settings.Zone, s.incarnation = "sul-1", 1<<60
		l := serveCounted(t, s.peerHandler())
		s.peersAddress = l.Addr().String()
		listeners = append(listeners, l)
	}
	return c, listeners
}

// TestHeartbeatBytesAreBounded guards against heartbeats that repeat unchanged digests:
// their size would grow with the number of gangs that span VMs.
func TestHeartbeatBytesAreBounded(t *testing.T) {
	for _, gangs := range []int{0, 10, 40} {
		t.Run(fmt.Sprintf("gangs=%d", gangs), func(t *testing.T) {
			c, listeners := newHTTPCluster(t, 8)
			for _, s := range c.servers {
				s.renewer.readings = newRenewerWithGangs(c.now, gangs, 8, 64).readings
			}
			first := c.exchangeHeartbeats(t, listeners, 1)
			later := c.exchangeHeartbeats(t, listeners, 10)
			t.Logf("bytes per VM and round: %.0f in the first round, %.0f in later ones", first, later)
			is.New(t).True(later <= 2000)
		})
	}
}

// TestBriefHeartbeatsCarryTheWholeDigest guards against brief heartbeats that lose
// information: a change must be sent, and a receiver that does not hold the digest, as
// after a restart, must get it in full.
func TestBriefHeartbeatsCarryTheWholeDigest(t *testing.T) {
	is := is.New(t)
	c, listeners := newHTTPCluster(t, 2)
	a, b := c.servers[0], c.servers[1]
	received := func() heartbeater.Digest {
		t.Helper()
		select {
		case m := <-b.inbox:
			return m.(digestMessage).digest
		default:
			t.Fatal("VM b received no digest")
			return heartbeater.Digest{}
		}
	}
	exchange := func() heartbeater.Digest {
		t.Helper()
		a.exchangeHeartbeat(t.Context(), listeners[1].Addr().String())
		return received()
	}
	first := exchange()
	is.Equal(first.Zone, "sul-1")
	second := exchange() // brief
	is.True(second.Sequence > first.Sequence)
	second.Sequence = first.Sequence
	is.Equal(second, first)

	// Changes arrive with the next heartbeat.
	a.renewer.readings = newRenewerWithGangs(c.now, 3, 8, 64).readings
	a.leaving.Store(true)
	is.True(exchange().Leaving)
	is.Equal(len(b.renewer.peerCounts["entry-1"].Gangs), 3)
	is.True(exchange().Leaving)
	is.Equal(len(b.renewer.peerCounts["entry-1"].Gangs), 3)

	// A VM that has restarted gets the full digest within the same heartbeat.
	b.digests = newDigestCache()
	is.Equal(exchange().Zone, "sul-1")

	// So does a VM that holds a different digest.
	b.digests.full["entry-1"] = &peerv1.Digest{Vm: "entry-1", Mark: 7}
	is.Equal(exchange().Zone, "sul-1")

	// Either VM may start the exchange.
	b.exchangeHeartbeat(t.Context(), listeners[0].Addr().String())
	is.Equal(received().VM, "entry-1")
	b.exchangeHeartbeat(t.Context(), listeners[0].Addr().String())
	is.True(received().Leaving)
	is.Equal(len(b.inbox), 0)
}
