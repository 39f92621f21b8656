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

const maxBody = 64 << 20 // maximum bytes of a request body

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// decode decodes a JSON request body and rejects unknown fields; on failure it
// responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, "decode request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// dropConnection aborts the request's connection without a response.
func dropConnection() { panic(http.ErrAbortHandler) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) { _ = sleeper.Sleep(ctx, d) }

// milliseconds converts a number of milliseconds from a request.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// control holds a value that can be waited on, such as the faults to inject.
type control[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{} // closed at the next change, nil when nothing waits
}

// get returns the current value.
func (c *control[T]) get() T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// update changes the value and wakes waiters.
func (c *control[T]) update(f func(*T)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.value)
	c.notify()
}

func (c *control[T]) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// wait returns once the condition holds or ctx ends.
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

// ServeHTTP merges the fields of a POST request into the current value; omitted
// fields keep their values. GET and POST respond with the resulting value.
func (c *control[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeJSON(w, http.StatusOK, c.get())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.value
	if !decode(w, r, &v) {
		return
	}
	c.value = v
	c.notify()
	writeJSON(w, http.StatusOK, c.value)
}
