package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// Result is the result of a command to a worker.
type Result string

// The results of a command.
const (
	ResultDone        Result = "done"
	ResultFenced      Result = "fenced"      // the worker has accepted a higher epoch, or another holder of this one
	ResultRefused     Result = "refused"     // no free capacity, or no such lease
	ResultUnreachable Result = "unreachable" // no response; the command may have taken effect
)

// FencedError is the error for a worker that has accepted another leader.
type FencedError struct {
	Worker       string       // address
	Sent         leaser.Epoch // epoch of the command
	HighestEpoch leaser.Epoch // highest epoch that the worker has seen
	Reason       string
}

// Error returns the worker, both epochs and the reason.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %v is fenced by epoch %v at worker %s: %s", e.Sent, e.HighestEpoch, e.Worker, e.Reason)
}

// Worker is a client of one worker of the platform.
type Worker struct {
	Address string        // HOST:PORT
	VM      string        // entry VM that sends the commands
	Client  *http.Client  // nil means a shared client
	Timeout time.Duration // of one exchange; 0 means 3 s
}

// Inventory returns the inventory that the worker reports.
func (w Worker) Inventory(ctx context.Context) (leaser.Inventory, error) {
	var a leaser.Inventory
	if err := w.exchange(http.MethodGet, "inventory", nil, &a).run(ctx); err != nil {
		return leaser.Inventory{}, fmt.Errorf("read inventory of worker %s: %w", w.Address, err)
	}
	return a, nil
}

// Fence raises the epoch of the worker and returns its inventory. The error is a
// *FencedError if the worker has seen a higher epoch, or the same epoch of another VM.
func (w Worker) Fence(ctx context.Context, epoch leaser.Epoch) (leaser.Inventory, error) {
	var a leaser.Inventory
	err := w.exchange(http.MethodPost, "fence", FenceRequest{Epoch: epoch, VM: w.VM}, &a).run(ctx)
	if c, ok := responseWithStatus(err, http.StatusConflict); ok {
		return leaser.Inventory{}, &FencedError{Worker: w.Address, Sent: epoch, HighestEpoch: c.Epoch, Reason: c.Reason}
	}
	if err != nil {
		return leaser.Inventory{}, fmt.Errorf("fence worker %s with epoch %v: %w", w.Address, epoch, err)
	}
	return a, nil
}

// Command sends a command for a lease to the worker: "prepare", "start", "checkpoint",
// "throttle" or "stop". The reason in the response says why the command was refused, or
// why there was no response.
func (w Worker) Command(ctx context.Context, kind string, epoch leaser.Epoch, lease leaser.Lease) (CommandResponse, Result) {
	var a CommandResponse
	err := w.exchange(http.MethodPost, kind, CommandRequest{Epoch: epoch, VM: w.VM, Lease: lease}, &a).run(ctx)
	if err == nil {
		return a, ResultDone
	}
	if c, ok := responseWithStatus(err, http.StatusConflict); ok {
		return c, ResultFenced
	}
	if c, ok := responseWithStatus(err, http.StatusUnprocessableEntity); ok {
		return c, ResultRefused
	}
	err = fmt.Errorf("%s lease %v at worker %s: %w", kind, lease.ID, w.Address, err)
	return CommandResponse{Reason: err.Error()}, ResultUnreachable
}

// Renew renews running leases, drops the acknowledged ones, and returns the resulting
// inventory.
func (w Worker) Renew(ctx context.Context, r RenewRequest) (leaser.Inventory, error) {
	var a leaser.Inventory
	if err := w.exchange(http.MethodPost, "renew", r, &a).run(ctx); err != nil {
		return leaser.Inventory{}, fmt.Errorf("renew leases at worker %s: %w", w.Address, err)
	}
	return a, nil
}

func (w Worker) exchange(method, path string, body, response any) exchange {
	return exchange{
		client:   w.Client,
		method:   method,
		url:      "http://" + w.Address + "/" + path,
		body:     body,
		response: response,
		timeout:  timeoutOrDefault(w.Timeout),
	}
}

// responseWithStatus returns the response in err if it has the given status.
func responseWithStatus(err error, status int) (CommandResponse, bool) {
	var s *StatusError
	if !errors.As(err, &s) || s.Status != status {
		return CommandResponse{}, false
	}
	var c CommandResponse
	if err := json.Unmarshal(s.body, &c); err != nil {
		return CommandResponse{}, false
	}
	return c, true
}
