package cmd

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/alitto/pond/v2"

	"github.com/lacewingdoor/lacewingdoor/internal/measurer"
)

// MeasureCmd simulates placement policies on the same traces in virtual time.
type MeasureCmd struct {
	Deployment []string `help:"Deployments to make traces of; all when none is named."`
	Policy     []string `help:"Policies to run; all when none is named."`
	Seed       []int64  `default:"1,2,3,4,5"                                              help:"Seeds, one trace for each."`
	Load       float64  `default:"0.8"                                                    help:"Work over capacity while jobs arrive."`
	Faults     bool     `help:"Add waves of cancellations and workers that fail all."`
	Parallel   int      `default:"2"                                                      help:"Runs at a time."`
	Output     string   `default:"text"                                                   enum:"text,json"                             help:"Form of the output: text or json."`
}

// Run runs the simulations and prints a table, or all results as JSON.
func (m *MeasureCmd) Run(c *Config) error {
	runs, err := m.runs()
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	results := make([]measurer.Result, len(runs))
	pool := pond.NewPool(max(1, m.Parallel))
	for i, j := range runs {
		pool.Submit(func() { results[i] = j() })
	}
	pool.StopAndWait()
	r := measurer.Report{Results: results}
	if m.Output != outputJSON {
		r.WriteText(c.stdout)
		return nil
	}
	e := json.NewEncoder(c.stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// runs returns one simulation run per policy and trace.
func (m *MeasureCmd) runs() ([]func() measurer.Result, error) {
	names := m.Deployment
	if len(names) == 0 {
		names = measurer.Deployments()
	}
	policies := slices.DeleteFunc(measurer.Policies(), func(p func() measurer.Policy) bool {
		return len(m.Policy) > 0 && !slices.Contains(m.Policy, p().Name)
	})
	if len(policies) == 0 {
		return nil, fmt.Errorf("unknown policies %q", m.Policy)
	}
	var runs []func() measurer.Result
	for _, name := range names {
		for _, p := range policies {
			for _, seed := range m.Seed {
				t, err := measurer.NewTrace(measurer.Options{Deployment: name, Seed: seed, Load: m.Load, Faults: m.Faults})
				if err != nil {
					return nil, fmt.Errorf("generate trace for seed %d: %w", seed, err)
				}
				runs = append(runs, func() measurer.Result { return measurer.Run(t, p()) })
			}
		}
	}
	return runs, nil
}
