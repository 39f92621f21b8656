package cmd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
)

// StatusCmd prints the status of an entry VM.
type StatusCmd struct {
	Client `embed:""`
}

// Run prints the status of one entry VM.
func (s *StatusCmd) Run(c *Config) error {
	var a responder.StatusResponse
	if err := s.call(http.MethodGet, "/-/status", nil, &a); err != nil {
		return err
	}
	return s.print(c.stdout, a, func(w io.Writer) { writeStatus(w, a) })
}

func writeStatus(w io.Writer, a responder.StatusResponse) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "vm\t%s\nzone\t%s\nready\t%t\t%s\n", a.VM, a.Zone, a.Ready, a.NotReady)
	fmt.Fprintf(t, "leader\t%s\nepoch\t%s\nlog up\t%t\n", a.Leader, a.Epoch, a.LogUp)
	fmt.Fprintf(t, "configuration\t%d\ncontrol offset\t%d\n", a.ConfigRevision, a.ControlOffset)
	fmt.Fprintf(t, "live\t%s\n", strings.Join(a.Live, " "))
	for _, k := range a.Workers {
		fmt.Fprintf(t, "worker\t%s\track %s\tzone %s\taccelerators %d of %d held\tleases %d\n",
			k.ID, k.Rack, k.Zone, k.Held.Accelerators, k.Capacity.Accelerators, k.Leases)
	}
	_ = t.Flush() // a failed write to the terminal cannot be reported
}
