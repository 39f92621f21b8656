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

// Many callers at a time must not overload the store: concurrent reads are shared, and
// pause after a failure. No caller may wait longer than progressWait.
func TestProgressReader(t *testing.T) {
	errDown := errors.New("down")
	for _, c := range []struct {
		name     string
		readTime time.Duration
		readErr  error
		want     error
		reads    int // by twenty callers, one every 100 ms
	}{
		{name: "store answers", readTime: 4 * time.Millisecond, reads: 20},
		{name: "concurrent callers share a read", readTime: 240 * time.Millisecond, reads: 7},
		{name: "store is too slow", readTime: 1200 * time.Millisecond, want: errStale, reads: 2},
		{name: "store is down", readTime: time.Millisecond, readErr: errDown, want: errStale, reads: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var reads, failures atomic.Int64
				l := &progressReader{Now: time.Now, Failed: func(error) { failures.Add(1) }, Read: func(context.Context) error {
					reads.Add(1)
					time.Sleep(c.readTime)
					return c.readErr
				}}
				for range 20 {
					go func() {
						began := time.Now()
						err := l.read(t.Context())
						if !errors.Is(err, c.want) {
							t.Errorf("got %v", err)
						}
						if time.Since(began) > progressWait {
							t.Errorf("a caller waited for %v", time.Since(began))
						}
					}()
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Second)
				is.Equal(int(reads.Load()), c.reads)
				is.True(failures.Load() <= 2)
				is.Equal(failures.Load() > 0, c.want != nil)
			})
		})
	}
}
