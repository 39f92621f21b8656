package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// call calls the API of an entry VM with the key of an operator or organisation.
func (w *cluster) call(ctx context.Context, v *vm, method, path, key string, body, response any) error {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request to %s: %w", v.id, err)
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+v.address+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("make request to %s: %w", v.id, err)
	}
	q.Header.Set("Authorization", "Bearer "+key)
	a, err := w.client.Do(q)
	if err != nil {
		return fmt.Errorf("call %s: %w", v.id, err)
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return fmt.Errorf("read response of %s: %w", v.id, err)
	}
	if a.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s at %s: %s: %s", method, path, v.id, a.Status, text)
	}
	if response == nil {
		return nil
	}
	return json.Unmarshal(text, response)
}

// liveVM returns the i-th running entry VM, modulo their number.
func (w *cluster) liveVM(i int) *vm {
	var v []*vm
	for _, x := range w.vms {
		if !x.stopped {
			v = append(v, x)
		}
	}
	return v[i%len(v)]
}

// leader returns the leading entry VM.
func (w *cluster) leader(ctx context.Context) (*vm, error) {
	all, err := w.statuses(ctx)
	if err != nil {
		return nil, err
	}
	for _, s := range all {
		for _, v := range w.vms {
			if s.Leading && v.id == s.VM {
				return v, nil
			}
		}
	}
	return nil, errors.New("no entry VM is the leader")
}
