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

// renewing returns a renewer that has read a worker with n tasks of each gang.
func renewing(now time.Time, gangs, n, size int) *renewer {
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

func TestDigestsTellOnlyOfGangsThatSpanVMs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.Equal(len(renewing(now, 3, 8, 8).gangs(now)), 0)  // seen whole here
	is.Equal(len(renewing(now, 3, 8, 12).gangs(now)), 3) // the rest runs elsewhere
	is.Equal(len(renewing(now, 3, 8, 12).gangs(now.Add(time.Minute))), 0)
}

// BenchmarkDigest shows the bytes of a digest by the gangs that span several VMs.
func BenchmarkDigest(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, gangs := range []int{0, 10, 40} {
		b.Run(fmt.Sprintf("gangs=%d", gangs), func(b *testing.B) {
			r := renewing(now, gangs, 8, 64)
			d := &peerv1.Digest{
				Vm: "entry-1", Zone: "sul-1", Address: "10.20.30.40:8081", Incarnation: 1 << 60, Sequence: 1 << 20,
				Ready: true, Term: 1 << 20, ConfigRevision: 1 << 16, ControlOffset: 1 << 24,
				Heard: []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8"},
			}
			for b.Loop() {
				d.Gangs = r.gangs(now)
			}
			b.ReportMetric(float64(proto.Size(d)), "bytes")
		})
	}
}
