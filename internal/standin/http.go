package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

const maxBody = 64 << 20 // bytes of one request

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// decode reads a JSON request strictly; it answers 400 and reports false when it
// cannot.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, "decode request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// drop ends the connection without an answer.
func drop() { panic(http.ErrAbortHandler) }

// pause waits for d, or until the caller is gone.
func pause(ctx context.Context, d time.Duration) { _ = sleeper.Sleep(ctx, d) }

// milliseconds converts a number of a control request.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// control keeps the failures that were asked for, as one value.
type control[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{} // closed at the next change, nil when nobody waits
}

// get returns the present value.
func (c *control[T]) get() T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// update changes the value.
func (c *control[T]) update(f func(*T)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.value)
	c.wake()
}

func (c *control[T]) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// wait returns once the condition holds, or the caller is gone.
func (c *control[T]) wait(ctx context.Context, condition func(T) bool) {
	for {
		c.mu.Lock()
		if condition(c.value) {
			c.mu.Unlock()
			return
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		k := c.changed
		c.mu.Unlock()
		select {
		case <-k:
		case <-ctx.Done():
			return
		}
	}
}

// ServeHTTP lays the fields of the request over the present value; fields that
// aren't named stay. GET and POST both answer with the value that holds then.
func (c *control[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		answer(w, http.StatusOK, c.get())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.value
	if !decode(w, r, &v) {
		return
	}
	c.value = v
	c.wake()
	answer(w, http.StatusOK, c.value)
}
