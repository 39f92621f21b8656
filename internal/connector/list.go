package connector

import (
	"context"
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
