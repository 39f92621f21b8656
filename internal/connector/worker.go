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

// Result is how a command to a worker went.
type Result string

// The results of a command.
const (
	ResultDone        Result = "done"
	ResultFenced      Result = "fenced"      // the worker obeys another holder or a higher epoch
	ResultRefused     Result = "refused"     // the worker won't: no room, or no such lease
	ResultUnreachable Result = "unreachable" // no answer; it may have taken effect
)

// FencedError says that a worker obeys another leader.
type FencedError struct {
	Worker string       // address
	Sent   leaser.Epoch // epoch of the command
	Seen   leaser.Epoch // highest epoch that the worker has seen
	Reason string
}

// Error names the worker and both epochs.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %v is fenced off by %v at worker %s: %s", e.Sent, e.Seen, e.Worker, e.Reason)
}

// Worker is one worker of the platform.
type Worker struct {
	Address string        // HOST:PORT
	VM      string        // entry VM that sends the commands
	Client  *http.Client  // a shared one when nil
	Timeout time.Duration // 3 s when zero
}

// Inventory returns what the worker says of itself.
func (w Worker) Inventory(ctx context.Context) (leaser.Inventory, error) {
	var a leaser.Inventory
	if err := w.exchange(http.MethodGet, "inventory", nil, &a).run(ctx); err != nil {
		return leaser.Inventory{}, fmt.Errorf("read inventory of worker %s: %w", w.Address, err)
	}
	return a, nil
}

// Fence raises the epoch of the worker and returns its inventory. The error is a
// FencedError when the worker has seen a higher one, or the same one of another
// VM.
func (w Worker) Fence(ctx context.Context, epoch leaser.Epoch) (leaser.Inventory, error) {
	var a leaser.Inventory
	err := w.exchange(http.MethodPost, "fence", FenceRequest{Epoch: epoch, VM: w.VM}, &a).run(ctx)
	if c, ok := refusal(err, http.StatusConflict); ok {
		return leaser.Inventory{}, &FencedError{Worker: w.Address, Sent: epoch, Seen: c.Epoch, Reason: c.Reason}
	}
	if err != nil {
		return leaser.Inventory{}, fmt.Errorf("fence worker %s with epoch %v: %w", w.Address, epoch, err)
	}
	return a, nil
}

// Command tells the worker what to do with a lease: "prepare", "start",
// "checkpoint", "throttle" or "stop". The reason of the answer says why it was
// refused, or why no answer came.
func (w Worker) Command(ctx context.Context, kind string, epoch leaser.Epoch, lease leaser.Lease) (CommandResponse, Result) {
	var a CommandResponse
	err := w.exchange(http.MethodPost, kind, CommandRequest{Epoch: epoch, VM: w.VM, Lease: lease}, &a).run(ctx)
	if err == nil {
		return a, ResultDone
	}
	if c, ok := refusal(err, http.StatusConflict); ok {
		return c, ResultFenced
	}
	if c, ok := refusal(err, http.StatusUnprocessableEntity); ok {
		return c, ResultRefused
	}
	err = fmt.Errorf("%s lease %v at worker %s: %w", kind, lease.ID, w.Address, err)
	return CommandResponse{Reason: err.Error()}, ResultUnreachable
}

// Renew extends running leases, forgets acknowledged ones, and returns the
// inventory that follows.
func (w Worker) Renew(ctx context.Context, r RenewRequest) (leaser.Inventory, error) {
	var a leaser.Inventory
	if err := w.exchange(http.MethodPost, "renew", r, &a).run(ctx); err != nil {
		return leaser.Inventory{}, fmt.Errorf("renew leases at worker %s: %w", w.Address, err)
	}
	return a, nil
}

func (w Worker) exchange(method, path string, body, answer any) exchange {
	return exchange{
		client:  w.Client,
		method:  method,
		url:     "http://" + w.Address + "/" + path,
		body:    body,
		answer:  answer,
		timeout: orDefault(w.Timeout),
	}
}

// refusal returns the body of an answer with the given status.
func refusal(err error, status int) (CommandResponse, bool) {
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
