package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// List is the platform's list of VMs. It lags.
type List struct {
	Address string        // HOST:PORT
	Client  *http.Client  // a shared one when nil
	Timeout time.Duration // 3 s when zero
}

// Read returns the rows of the list as they stand.
func (l List) Read(ctx context.Context) ([]ListedVM, error) {
	rows, _, _, err := l.ReadChanged(ctx, "")
	return rows, err
}

// ReadChanged returns the rows of the list and their entity tag, or false when
// they are those of the tag that the caller knows. A list of 1,000 workers takes
// some 160 KB, and seldom changes.
func (l List) ReadChanged(ctx context.Context, known string) (rows []ListedVM, tag string, changed bool, err error) {
	var a ListResponse
	e := exchange{
		known:   known,
		tag:     &tag,
		client:  l.Client,
		method:  http.MethodGet,
		url:     "http://" + l.Address + "/vms",
		answer:  &a,
		timeout: orDefault(l.Timeout),
	}
	err = e.run(ctx)
	if errors.Is(err, errNotModified) {
		return nil, known, false, nil
	}
	if err != nil {
		return nil, "", false, fmt.Errorf("read list of VMs at %s: %w", l.Address, err)
	}
	return a.VMs, tag, true, nil
}

// Register adds a row to the list, or replaces the one with the same id.
func (l List) Register(ctx context.Context, v ListedVM) error {
	if err := l.post(ctx, "register", v); err != nil {
		return fmt.Errorf("register %s %s at list %s: %w", v.Role, v.ID, l.Address, err)
	}
	return nil
}

// DeregisterRequest is the body of POST /deregister on the list.
type DeregisterRequest struct {
	ID string `json:"id"`
}

// Deregister takes the row of a VM out of the list.
func (l List) Deregister(ctx context.Context, id string) error {
	if err := l.post(ctx, "deregister", DeregisterRequest{ID: id}); err != nil {
		return fmt.Errorf("deregister %s at list %s: %w", id, l.Address, err)
	}
	return nil
}

func (l List) post(ctx context.Context, path string, body any) error {
	var a json.RawMessage
	e := exchange{
		client:  l.Client,
		method:  http.MethodPost,
		url:     "http://" + l.Address + "/" + path,
		body:    body,
		answer:  &a,
		timeout: orDefault(l.Timeout),
	}
	return e.run(ctx)
}
