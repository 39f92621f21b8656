package prober_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/prober"
)

// startServer starts a server that speaks the given protocols and returns its address.
func startServer(t *testing.T, http1, http2 bool) string {
	t.Helper()
	v := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	v.Config.Protocols = new(http.Protocols)
	v.Config.Protocols.SetHTTP1(http1)
	v.Config.Protocols.SetUnencryptedHTTP2(http2)
	v.Start()
	t.Cleanup(v.Close)
	return v.Listener.Addr().String()
}

func TestDetectReturnsProtocolOfServer(t *testing.T) {
	is := is.New(t)
	p, err := prober.Detect(t.Context(), startServer(t, true, false))
	is.NoErr(err)
	is.Equal(p, prober.HTTP1)
	for _, http1 := range []bool{true, false} {
		p, err = prober.Detect(t.Context(), startServer(t, http1, true))
		is.NoErr(err)
		is.Equal(p, prober.HTTP2C)
	}
}

func TestDetectFailsWithoutAnswer(t *testing.T) {
	is := is.New(t)
	v, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, but no server answers
	is.NoErr(err)
	defer v.Close()
	p, err := prober.Detect(t.Context(), v.Addr().String())
	is.True(err != nil)
	is.Equal(p, prober.Unknown)
}

// Guards against a lost HTTP/1.1 connection that is kept longer than DropTimeout, with
// unacknowledged bytes or without.
func TestDialerSetsTimeoutsWithinDropTimeout(t *testing.T) {
	is := is.New(t)
	c, err := prober.Dialer().DialContext(t.Context(), "tcp", startServer(t, true, false))
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) (n int) {
		is.NoErr(raw.Control(func(fd uintptr) {
			n, err = syscall.GetsockoptInt(int(fd), level, name)
		}))
		is.NoErr(err)
		return n
	}
	const userTimeout = 0x12
	bound := int(prober.DropTimeout.Milliseconds())
	is.True(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) != 0)
	idle := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
	interval := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
	count := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	is.True(1000*(idle+interval*count) <= bound)
	unacked := option(syscall.IPPROTO_TCP, userTimeout)
	is.True(unacked > 0 && unacked <= bound)
}
