package budgeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against shares that leave no room for the process itself, or in which a legal request
// does not fit: on the smallest VM a head of 1 MB and a body of 262 KB.
func TestSharesOfSmallestVM(t *testing.T) {
	is := is.New(t)
	v := Divide(Limits{MemoryMB: 144, Descriptors: 3075})
	memory := v.Callers.Bytes + v.VMs.Bytes + v.Readiness.Bytes + v.Metrics.Bytes
	is.True(memory <= 144<<20*40/100)
	is.True(v.Callers.Connections+v.VMs.Connections+v.Readiness.Connections+v.Metrics.Connections <= (3075-200)*60/100)
	is.True(v.Callers.Connections >= 500)
	const head, line = 1 << 20, 64
	requests := v.Callers.Bytes * requestPercent / 100
	is.True(requests > head*HeadFactor+head/line*LineBytes)
	is.True(requests > 20*262_144*int64(v.Callers.BodyFactor))
	is.True(v.Readiness.Connections >= 30)
	is.Equal(Divide(Limits{}), Divide(Limits{MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors}))
}

// Guards against closing a connection that makes progress while others do not.
func TestConnectionsWithoutProgressAreClosedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	const body = 10 << 10
	s := Share{Bytes: 1 << 20, Connections: 4}.WithBuffer(1 << 10)
	b := New(s)
	for id := range uint64(4) {
		_, ok := b.Open(now, id)
		is.True(ok)
		if id > 0 {
			b.Enter(now, id, PhaseReceive)
		}
	}
	_, ok := b.Open(now, 9)
	is.True(!ok) // all are new
	b.Enter(now, 3, PhaseHandle)
	now = now.Add(stallTime)
	b.Progress(now, 1, body)
	closing, ok := b.Open(now, 10)
	is.True(ok)
	is.Equal(closing, []Closing{{0, ReasonIdle}})
	closing, ok = b.Open(now, 11)
	is.True(ok)
	is.Equal(closing, []Closing{{2, ReasonStalled}})
	_, ok = b.Open(now, 12)
	is.True(!ok) // one makes progress, one is handled, two are new
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		b.Progress(now, 1, 1)
		b.Enter(now, 10, PhaseHandle)
		b.Enter(now, 11, PhaseHandle)
	}
	closing, ok = b.Open(now, 13)
	is.True(ok)
	is.Equal(closing, []Closing{{1, ReasonSlow}})
}

// Guards against charges beyond the share, lost or negative charges, and closing a connection
// whose request is being handled.
func TestChargesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		s := Share{Bytes: 200 << 10, Connections: 6}.WithBuffer(rapid.IntRange(0, 8<<10).Draw(t, "buffer"))
		b, last := New(s), uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			id := rapid.Uint64Range(1, max(1, last)).Draw(t, "id")
			handled := map[uint64]bool{}
			for k, c := range b.connections {
				handled[k] = c.phase == PhaseHandle
			}
			held := b.held
			var closing []Closing
			ok := true
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0:
				last++
				closing, ok = b.Open(now, last)
			case 1:
				closing, ok = b.Charge(now, id, rapid.Int64Range(0, 100<<10).Draw(t, "bytes"))
			case 2:
				b.Refund(id, rapid.Int64Range(0, 100<<10).Draw(t, "refund"))
			case 3:
				b.Enter(now, id, rapid.SampledFrom([]Phase{PhaseIdle, PhaseReceive, PhaseHandle, PhaseRespond}).Draw(t, "phase"))
			case 4:
				b.Progress(now, id, rapid.IntRange(0, 64<<10).Draw(t, "progress"))
			case 5:
				b.Close(id)
			}
			for _, c := range closing {
				if handled[c.ID] || !ok {
					t.Fatalf("connection %d is closed for %s", c.ID, c.Reason)
				}
			}
			if !ok && b.held != held {
				t.Fatalf("a refused charge changes the held bytes from %d to %d", held, b.held)
			}
			checkSums(t, b)
		}
	})
}

func checkSums(t *rapid.T, b *Budgeter) {
	var sum int64
	for id, c := range b.connections {
		if c.held < b.share.connectionBytes() {
			t.Fatalf("connection %d is charged %d bytes, less than for itself", id, c.held)
		}
		sum += c.held
	}
	if r := b.requests(); r < 0 || r > b.share.Bytes*requestPercent/100 {
		t.Fatalf("requests hold %d bytes of %d", r, b.share.Bytes)
	}
	if sum != b.held || sum > b.share.Bytes || len(b.connections) > b.share.Connections {
		t.Fatalf("%d bytes are held, the connections hold %d, of %d; %d connections of %d", b.held, sum, b.share.Bytes, len(b.connections), b.share.Connections)
	}
}
