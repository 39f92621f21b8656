package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// HistoryCmd lists the latest configuration changes.
type HistoryCmd struct {
	Client `embed:""`
}

// Run prints the latest changes with their outcomes, oldest first.
func (h *HistoryCmd) Run(c *Config) error {
	ctx, cancel := context.WithTimeout(context.Background(), h.Timeout)
	defer cancel()
	a, err := configurationClient{Client: &h.Client}.configuration(ctx)
	if err != nil {
		return err
	}
	changes := a.State.History()
	return h.print(c.stdout, changes, func(w io.Writer) { writeHistory(w, changes) })
}

func writeHistory(w io.Writer, changes []publisher.DecidedChange) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REVISION\tOUTCOME\tPUBLISHER\tCREATED\tCHANGE\tFILES")
	for _, s := range changes {
		v := s.Verdict
		created := "-"
		if !v.Created.IsZero() {
			created = v.Created.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\n", v.Offset, v.Outcome, v.Publisher, created, s.ID, strings.Join(v.Files, " "))
	}
	_ = t.Flush() // a failed write to the terminal cannot be reported
}
