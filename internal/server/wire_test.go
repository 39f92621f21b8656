package server

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// countingListener counts the bytes of its connections in both directions, including
// HTTP framing and headers.
type countingListener struct {
	net.Listener

	bytes atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countedConn{c, l}, err
}

type countedConn struct {
	net.Conn

	l *countingListener
}

// Read counts the received bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

// serveCounted serves h on loopback and returns the listener that counts its bytes.
func serveCounted(t testing.TB, h http.Handler) *countingListener {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	l := &countingListener{Listener: s.Listener}
	s.Listener = l
	s.Config.Protocols = protocols()
	s.Start()
	t.Cleanup(s.Close)
	return l
}

// BenchmarkRenew renews one worker, all of whose leases run, over loopback.
func BenchmarkRenew(b *testing.B) {
	for _, tasks := range []int{0, 29} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			is := is.New(b)
			w := standin.NewWorker(leaser.Table{Worker: "w1", Rack: "r", Capacity: placer.Resources{Accelerators: 8}})
			l := serveCounted(b, w)
			c := newTestCluster([]string{"a"}, nil)
			s := c.servers[0]
			s.workers = workerClient()
			row := connector.ListedVM{ID: "w1", Address: l.Addr().String()}
			k := connector.Worker{Address: row.Address, VM: "leader"}
			_, err := k.Fence(b.Context(), leaser.Epoch{Term: 1})
			is.NoErr(err)
			for n := range tasks {
				for _, kind := range []string{"prepare", "start"} {
					lease := leaser.Lease{ID: leaser.ID{Job: fmt.Sprintf("etiquetar-sul:rebuild-%d", n), Attempt: 1}, GangSize: 1}
					_, r := k.Command(b.Context(), kind, leaser.Epoch{Term: 1}, lease)
					is.Equal(r, connector.ResultDone)
				}
			}
			s.renewer.renewWorker(b.Context(), row, nil)
			l.bytes.Store(0)
			b.ResetTimer()
			for range b.N {
				s.renewer.renewWorker(b.Context(), row, nil)
			}
			b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-bytes/op")
		})
	}
}
