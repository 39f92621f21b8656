package forwarder_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

func TestForwardsWholeRequest(t *testing.T) {
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C, prober.Unknown} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, p, echo)
			status, body, _ := b.post(t.Context(), t, "/label/proof/7", "milk 3.99")
			is.Equal(status, 200)
			is.Equal(body, "/proof/7 milk 3.99")
		})
	}
}

func TestDetectsHTTP1(t *testing.T) {
	is := is.New(t)
	b := benchAt(t, prober.Unknown, serve(t, echo, false))
	status, body, _ := b.post(t.Context(), t, "/label/proof/7", "milk")
	is.Equal(status, 200)
	is.Equal(body, "/proof/7 milk")
}

func TestRefusesUnknownService(t *testing.T) {
	is := is.New(t)
	b := newBench(t, prober.HTTP1, echo)
	status, _, p := b.post(t.Context(), t, "/labels/proof", "")
	is.Equal(status, 404)
	is.Equal(p.Code, router.CodeUnknownService)
	is.Equal(p.Outcome, router.NotRun)
	is.Equal(p.Status, 404)
}
