package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// newRenewerWithGangs returns a renewer with a reading of one worker that runs n
// tasks of each gang.
func newRenewerWithGangs(now time.Time, gangs, n, size int) *renewer {
	i := leaser.Inventory{Worker: "w1"}
	for g := range gangs {
		for t := range n {
			i.Leases = append(i.Leases, leaser.Lease{
				ID:       leaser.ID{Job: fmt.Sprintf("etiquetar-sul:rebuild-%d", g), Attempt: 1, Task: t},
				GangSize: size, State: leaser.StateRunning,
			})
		}
	}
	r := newRenewer(&Server{})
	r.readings["w1"] = leaser.Reading{At: now, Inventory: i}
	return r
}

// TestDigestOmitsGangsOnOneVM guards against digests that grow with gangs whose leases
// are all renewed by this VM, or that were read too long ago.
func TestDigestOmitsGangsOnOneVM(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.Equal(len(newRenewerWithGangs(now, 3, 8, 8).partialGangs(now)), 0)  // all tasks are seen by this VM
	is.Equal(len(newRenewerWithGangs(now, 3, 8, 12).partialGangs(now)), 3) // the other tasks run elsewhere
	is.Equal(len(newRenewerWithGangs(now, 3, 8, 12).partialGangs(now.Add(time.Minute))), 0)
}

// BenchmarkDigest reports the size of a digest in bytes by the number of gangs that
// span several VMs.
func BenchmarkDigest(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, gangs := range []int{0, 10, 40} {
		b.Run(fmt.Sprintf("gangs=%d", gangs), func(b *testing.B) {
			r := newRenewerWithGangs(now, gangs, 8, 64)
			d := &peerv1.Digest{
				Vm: "entry-1", Zone: "sul-1", Address: "10.20.30.40:8081", Incarnation: 1 << 60, Sequence: 1 << 20,
				Ready: true, Term: 1 << 20, ConfigRevision: 1 << 16, ControlOffset: 1 << 24,
				Heard: []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8"},
			}
			for b.Loop() {
				d.Gangs = r.partialGangs(now)
			}
			b.ReportMetric(float64(proto.Size(d)), "bytes")
		})
	}
}
