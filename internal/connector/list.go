package connector

import (
	"context"
	"encoding/json"
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
	var a ListResponse
	e := exchange{
		client:  l.Client,
		method:  http.MethodGet,
		url:     "http://" + l.Address + "/vms",
		answer:  &a,
		timeout: orDefault(l.Timeout),
	}
	if err := e.run(ctx); err != nil {
		return nil, fmt.Errorf("read list of VMs at %s: %w", l.Address, err)
	}
	return a.VMs, nil
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
