package server

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefuseNewConnections guards against losing a connection that was established
// but not accepted when the listener refuses new ones: Accept must still return it.
func TestRefuseNewConnections(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	l, err := s.listen(t.Context(), "callers", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	before, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer before.Close()
	is.NoErr(refuseNewConnections(l))
	d := net.Dialer{Timeout: 100 * time.Millisecond}
	_, err = d.DialContext(t.Context(), "tcp", l.Addr().String())
	var n net.Error
	is.True(errors.As(err, &n) && n.Timeout()) // its SYN is dropped
	accepted, err := l.Accept()
	is.NoErr(err)
	is.Equal(accepted.RemoteAddr().String(), before.LocalAddr().String())
	is.NoErr(accepted.Close())
}
