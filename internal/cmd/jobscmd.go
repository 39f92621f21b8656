package cmd

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
)

// JobsCmd lists jobs.
type JobsCmd struct {
	Client `embed:""`
}

// Run lists the jobs of the key's organisation, or all jobs if the key is an operator's.
func (j *JobsCmd) Run(c *Config) error {
	var a responder.JobsResponse
	if err := j.call(http.MethodGet, "/-/jobs", nil, &a); err != nil {
		return err
	}
	return j.print(c.stdout, a, func(w io.Writer) { writeJobs(w, a.Jobs) })
}

func writeJobs(w io.Writer, jobs []responder.JobResponse) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tSERVICE\tCLASS\tTASKS\tPHASE\tATTEMPT\tOUTCOME\tREASON")
	for _, j := range jobs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n",
			j.ID, j.Service, j.Class, j.Tasks, j.Phase, j.Attempt, j.Outcome, j.Reason)
	}
	_ = t.Flush() // a failed write to the terminal cannot be reported
}

// CancelCmd cancels a job.
type CancelCmd struct {
	Client `embed:""`
	Job    string `arg:"" help:"Submission id of the job."`
}

// Run cancels the job. It is idempotent.
func (j *CancelCmd) Run(c *Config) error {
	var a responder.JobResponse
	if err := j.call(http.MethodDelete, jobPath(j.Job), nil, &a); err != nil {
		return err
	}
	return j.print(c.stdout, a, func(w io.Writer) { writeJobs(w, []responder.JobResponse{a}) })
}

// WhyCmd explains why a job waits.
type WhyCmd struct {
	Client `embed:""`
	Job    string `arg:"" help:"Submission id of the job."`
}

// Run prints the resource, rack, guarantee or reservation that the job waits for.
func (j *WhyCmd) Run(c *Config) error {
	var a responder.JobResponse
	if err := j.call(http.MethodGet, jobPath(j.Job)+"?why", nil, &a); err != nil {
		return err
	}
	return j.print(c.stdout, a, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s", a.ID, a.Phase)
		if a.Why != "" {
			fmt.Fprintf(w, ": %s", a.Why)
		}
		fmt.Fprintln(w)
		if len(a.Workers) > 0 {
			fmt.Fprintf(w, "workers: %s\n", strings.Join(a.Workers, " "))
		}
	})
}

func jobPath(id string) string { return "/-/jobs/" + url.PathEscape(id) }
