package cmd

import (
	"context"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// RollbackCmd undoes a change of configuration.
type RollbackCmd struct {
	Client `embed:""`
	Change string `arg:"" help:"Id of the change, as lacewingdoor history prints it."`
	DryRun bool   `help:"Show the difference and stop."`
	Force  string `help:"Reason to publish guarantees that promise more than workers report; it is logged." placeholder:"REASON"`
}

// Run publishes the earlier content of the files that the change brought, as a
// change of its own. It fails when one of them was changed since.
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
