package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

// While bodies took all the room, requests for states and cancellations, which give room back, were
// refused like them.
func TestRequestsWithoutBodyAreServedWhileBodiesTakeTheRoom(t *testing.T) {
	is := is.New(t)
	release, held := make(chan struct{}), make(chan struct{}, 1)
	address, _, _ := startWith(t, budgeter.Share{Bytes: 1 << 20, Connections: 1, BodyFactor: 3}.WithBuffer(4<<10), waitTimeout, func(w http.ResponseWriter, q *http.Request) {
		echo(w, q)
		if q.URL.Path == "/hold" {
			held <- struct{}{}
			<-release
		}
	})
	done := make(chan error)
	go func() {
		r, err := http.Post("http://"+address+"/hold", "text/plain", strings.NewReader("job"))
		if err == nil {
			_ = r.Body.Close()
		}
		done <- err
	}()
	<-held
	call := func(method, body string) int {
		t.Helper()
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "%s / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, len(body), body)
		is.NoErr(err)
		b := bufio.NewReader(c)
		r, err := http.ReadResponse(b, nil)
		is.NoErr(err)
		_ = r.Body.Close()
		_, _ = io.Copy(io.Discard, b) // the place is free once the server has closed the connection
		is.True(r.Close)
		if r.StatusCode != http.StatusOK {
			is.Equal(r.Header.Get("Retry-After"), "1")
		}
		return r.StatusCode
	}
	for range 10 { // one at a time: each gives its place back
		is.Equal(call(http.MethodGet, ""), http.StatusOK)
		is.Equal(call(http.MethodDelete, ""), http.StatusOK)
		is.Equal(call(http.MethodPost, "job"), http.StatusServiceUnavailable)
	}
	close(release)
	is.NoErr(<-done)
}

// Clients that connect and send nothing would keep the places for requests without a body.
func TestConnectionsWithoutRequestGiveTheirPlaceBack(t *testing.T) {
	is := is.New(t)
	address, _, _ := start(t, budgeter.Share{Bytes: 1 << 20, Connections: 1, BodyFactor: 3}.WithBuffer(4<<10), echo)
	for range 4 { // the first takes the share
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("G"))
		is.NoErr(err)
	}
	waitUntil(t, "a request is served", func() bool {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}
