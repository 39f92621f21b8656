package server

import (
	"context"
	"errors"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// worker returns a client of the worker at an address.
func (s *Server) worker(address string) connector.Worker {
	return connector.Worker{Address: address, VM: s.Settings.VM, Client: s.workers}
}

// fence raises the epoch on a worker, for the runner.
func (s *Server) fence(ctx context.Context, worker string, e leaser.Epoch) (leaser.Inventory, reducer.CommandEnded) {
	address := s.view.Load().address(connector.RoleWorker, worker)
	if address == "" {
		return leaser.Inventory{}, unlistedWorker(worker)
	}
	i, err := s.worker(address).Fence(ctx, e)
	var f *connector.FencedError
	switch {
	case err == nil:
		return i, reducer.CommandEnded{Result: reducer.CommandDone, HighestEpoch: i.Epoch}
	case errors.As(err, &f):
		return i, reducer.CommandEnded{Result: reducer.CommandFenced, HighestEpoch: f.HighestEpoch, Reason: f.Reason}
	}
	s.throttled.log("fence", worker, err)
	return i, reducer.CommandEnded{Result: reducer.CommandUnreachable, Reason: err.Error()}
}

// command sends a command to a worker, for the runner.
func (s *Server) command(ctx context.Context, c reducer.Command) reducer.CommandEnded {
	address := s.view.Load().address(connector.RoleWorker, c.Worker)
	if address == "" {
		return unlistedWorker(c.Worker)
	}
	a, result := s.worker(address).Command(ctx, string(c.Kind), c.Epoch, c.Lease)
	s.recorder.Count("commands-"+string(c.Kind)+"-"+string(result), 1)
	s.log(string(c.Kind)).WithField("peer", c.Worker).WithField("job", c.Lease.ID.Job).
		WithField("lease", c.Lease.ID.String()).WithField("epoch", c.Epoch.String()).
		WithField("result", string(result)).Debug("command ended")
	return reducer.CommandEnded{
		Result: commandResult(result), HighestEpoch: a.Epoch, Reason: a.Reason,
	}
}

func commandResult(r connector.Result) reducer.CommandResult {
	switch r {
	case connector.ResultDone:
		return reducer.CommandDone
	case connector.ResultFenced:
		return reducer.CommandFenced
	case connector.ResultRefused:
		return reducer.CommandRefused
	case connector.ResultUnreachable:
	}
	return reducer.CommandUnreachable
}

func unlistedWorker(worker string) reducer.CommandEnded {
	return reducer.CommandEnded{
		Result: reducer.CommandUnreachable, Reason: "worker " + worker + " is not in the platform's list",
	}
}
