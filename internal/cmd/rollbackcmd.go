package cmd

import (
	"context"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// RollbackCmd reverts a configuration change.
type RollbackCmd struct {
	Client `embed:""`
	Change string `arg:"" help:"Id of the change, as lacewingdoor history prints it."`
	DryRun bool   `help:"Show the difference and stop."`
	Force  string `help:"Reason to publish guarantees that promise more than workers report; it is logged." placeholder:"REASON"`
}

// Run publishes the previous content of the files of a change, as a new change. It
// fails if one of these files has changed since.
func (r *RollbackCmd) Run(c *Config) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	k := configurationClient{Client: &r.Client, force: r.Force}
	a, err := k.configuration(ctx)
	if err != nil {
		return err
	}
	q, err := publisher.Rollback(a.State, r.Change)
	if err != nil {
		return &ExitError{ExitFailed, err}
	}
	q.Base, q.DryRun = a.State.Revision(), r.DryRun
	return k.publish(ctx, c, "", q)
}
