package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// DiffCmd shows what publishing files would change in the configuration in force.
type DiffCmd struct {
	Client `embed:""`
	Dir    string   `arg:"" help:"Directory of which every *.toml file is compared." type:"existingdir"`
	Prefix string   `help:"Put before the name of each file, as in labels/service.toml."`
	Remove []string `help:"Name of a file in force that is to be removed; may be repeated."`
}

// ExitDiffers is the exit code if there are differences; as with diff(1), 0 means none.
// All errors exit with ExitUsage.
const ExitDiffers = 1

// Run prints each key that would be added, removed or changed, and exits with
// ExitDiffers if there is any.
func (d *DiffCmd) Run(c *Config) error {
	files, err := collectWithPrefix(d.Prefix, d.Dir)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()
	k := configurationClient{Client: &d.Client}
	r, err := k.publisher().Publish(ctx, publisher.Request{
		Files: files, Remove: d.Remove, AllowRemoval: true, DryRun: true,
	})
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	if r.Changes == nil {
		r.Changes = []publisher.KeyChange{} // encoded as an empty array instead of null
	}
	if err := d.print(c.stdout, r, func(w io.Writer) { writeDiff(w, r) }); err != nil {
		return &ExitError{ExitUsage, err}
	}
	if len(r.Changes) > 0 {
		return &ExitError{ExitDiffers, errors.New("the files differ from the configuration in force")}
	}
	return nil
}

func writeDiff(w io.Writer, r publisher.Result) {
	for _, k := range r.Changes {
		fmt.Fprintln(w, k)
	}
	for _, n := range r.Removed {
		fmt.Fprintf(w, "%s would disappear; publish wants --allow-removal\n", n)
	}
}
