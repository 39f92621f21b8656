package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/demonstrator"
)

// DemoCmd runs a demonstration of the whole system in one process.
type DemoCmd struct {
	Output  string        `default:"text"  enum:"text,json"                                                           help:"Form of the output: text or json."`
	Logs    string        `default:"error" help:"Level of the entry VMs' logs: debug, info, warning or error."`
	Timeout time.Duration `default:"2m"    help:"Longest time that the demonstration takes."`
}

var errPromiseBroken = errors.New("a promise was broken")

// Run runs the demonstration. It fails if any promise was broken.
func (d *DemoCmd) Run(c *Config) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()
	r, err := (&demonstrator.Demonstrator{
		Out:    c.stderr,
		Logger: newLogger(c.stderr, d.Logs),
	}).Run(ctx)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := d.print(c.stdout, r); err != nil {
		return err
	}
	if !r.Kept() {
		return errPromiseBroken
	}
	return nil
}

func (d *DemoCmd) print(w io.Writer, r demonstrator.Report) error {
	if d.Output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range r.Promises {
		kept := "kept"
		if !p.Kept {
			kept = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", kept, p.Name, p.Seen)
	}
	for _, m := range r.Measures {
		fmt.Fprintf(t, "measure\t%s\t%s\n", m.Name, m.Value)
	}
	return t.Flush()
}
