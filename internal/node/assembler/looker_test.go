package assembler

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLook(t *testing.T) {
	errDown := errors.New("down")
	for _, c := range []struct {
		name  string
		takes time.Duration
		fails error
		want  error
		reads int // of twenty callers, one every 100 ms
	}{
		{name: "store answers", takes: 4 * time.Millisecond, reads: 20},
		{name: "callers at the same time share a look", takes: 240 * time.Millisecond, reads: 7},
		{name: "store is too slow", takes: 1200 * time.Millisecond, want: errStale, reads: 2},
		{name: "store is down", takes: time.Millisecond, fails: errDown, want: errStale, reads: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var reads, slow atomic.Int64
				l := &looker{Now: time.Now, Slow: func(error) { slow.Add(1) }, Read: func(context.Context) error {
					reads.Add(1)
					time.Sleep(c.takes)
					return c.fails
				}}
				for range 20 {
					go func() {
						began := time.Now()
						err := l.look(t.Context())
						if !errors.Is(err, c.want) {
							t.Errorf("got %v", err)
						}
						if time.Since(began) > lookPatience {
							t.Errorf("a caller waited for %v", time.Since(began))
						}
					}()
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Second)
				is.Equal(int(reads.Load()), c.reads)
				is.True(slow.Load() <= 2)
				is.Equal(slow.Load() > 0, c.want != nil)
			})
		})
	}
}
