package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// List is a client of the platform's list of VMs, which may be stale.
type List struct {
	Address string        // HOST:PORT
	Client  *http.Client  // nil means a shared client
	Timeout time.Duration // of one exchange; 0 means 3 s
}

// Read returns the current rows of the list.
func (l List) Read(ctx context.Context) ([]ListedVM, error) {
	rows, _, _, err := l.ReadIfChanged(ctx, "")
	return rows, err
}

// ReadIfChanged returns the rows of the list and their entity tag. If the list still
// has the entity tag knownTag, it returns no rows and changed is false: a list of
// 1,000 workers takes about 160 KB and seldom changes.
func (l List) ReadIfChanged(ctx context.Context, knownTag string) (rows []ListedVM, tag string, changed bool, err error) {
	var a ListResponse
	e := exchange{
		knownTag: knownTag,
		tag:      &tag,
		client:   l.Client,
		method:   http.MethodGet,
		url:      "http://" + l.Address + "/vms",
		response: &a,
		timeout:  timeoutOrDefault(l.Timeout),
	}
	err = e.run(ctx)
	if errors.Is(err, errNotModified) {
		return nil, knownTag, false, nil
	}
	if err != nil {
		return nil, "", false, fmt.Errorf("read list of VMs at %s: %w", l.Address, err)
	}
	return a.VMs, tag, true, nil
}

// Register adds a row to the list, or replaces the row with the same ID.
func (l List) Register(ctx context.Context, v ListedVM) error {
	if err := l.post(ctx, "register", v); err != nil {
		return fmt.Errorf("register %s %s in list of VMs at %s: %w", v.Role, v.ID, l.Address, err)
	}
	return nil
}

// DeregisterRequest is the body of POST /deregister on the list.
type DeregisterRequest struct {
	ID string `json:"id"`
}

// Deregister removes the row of a VM from the list.
func (l List) Deregister(ctx context.Context, id string) error {
	if err := l.post(ctx, "deregister", DeregisterRequest{ID: id}); err != nil {
		return fmt.Errorf("deregister %s from list of VMs at %s: %w", id, l.Address, err)
	}
	return nil
}

func (l List) post(ctx context.Context, path string, body any) error {
	var a json.RawMessage
	e := exchange{
		client:   l.Client,
		method:   http.MethodPost,
		url:      "http://" + l.Address + "/" + path,
		body:     body,
		response: &a,
		timeout:  timeoutOrDefault(l.Timeout),
	}
	return e.run(ctx)
}
