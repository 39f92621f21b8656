package standin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/standin"
)

// Guards against a response to POST /control that precedes the effect: a route just set
// to "up" must accept connections at once, and one just set to "cut" must refuse them.
func TestLinkStateAppliesBeforeResponse(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l, err := standin.NewLink(ctx, "127.0.0.1", []string{"r"})
	is.NoErr(err)
	go func() { _ = l.Run(ctx) }()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = target.Close() }()
	set := func(body string) {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
		is.Equal(w.Code, http.StatusOK)
	}
	set(`{"to":{"r":"` + target.Addr().String() + `"}}`)
	for range 300 {
		set(`{"state":{"r":"cut"}}`)
		if c, err := net.Dial("tcp", l.Addresses()["r"]); err == nil {
			_ = c.Close()
			t.Fatal("connection accepted while the route was cut")
		}
		set(`{"state":{"r":"up"}}`)
		c, err := net.Dial("tcp", l.Addresses()["r"])
		is.NoErr(err)
		_ = c.Close()
	}
}
