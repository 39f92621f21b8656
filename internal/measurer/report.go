package measurer

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Policies returns the policies that are measured, the simplest first.
func Policies() []func() Policy {
	return []func() Policy{FirstCome, FirstFit, BestFit, Planned, Moving, Reducer}
}

// The goals that are reported on.
const (
	meanGoal    = 1.2 // mean completion over its lower bound
	rebuildGoal = 0.5 // p95 wait of rebuilds over that of first fit
	shortGoal   = 0.1 // p99 wait of short work at the crest over that of first come first served
)

// Report is the results of several runs.
type Report struct {
	Results []Result `json:"results"`
}

// group is the results of one policy on the traces of one deployment.
type group struct {
	trace   string
	policy  string
	faults  bool
	results []Result
}

func (r Report) groups() []group {
	var all []group
	for _, v := range r.Results {
		i := slices.IndexFunc(all, func(g group) bool {
			return g.trace == v.Trace && g.policy == v.Policy && g.faults == v.Faults
		})
		if i < 0 {
			i = len(all)
			all = append(all, group{trace: v.Trace, policy: v.Policy, faults: v.Faults})
		}
		all[i].results = append(all[i].results, v)
	}
	return all
}

// over returns the mean of a figure over the seeds.
func (g group) over(figure func(Result) float64) float64 {
	var all []float64
	for _, r := range g.results {
		all = append(all, figure(r))
	}
	return mean(all)
}

// total returns the sum of a figure over the seeds.
func (g group) total(figure func(Result) int) int {
	n := 0
	for _, r := range g.results {
		n += figure(r)
	}
	return n
}

// WriteText writes a table of the means over the seeds, and how the goals were
// met.
func (r Report) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trace\tpolicy\tseeds\tmean/bound\tp95 s\tspan/bound\tfrag\trebuild p50 s\tp95 s"+
		"\tshort p50 s\tp99 s\tcrest p99 s\treclaim p99 s\tmax s\tover bound\tlost by reclaim\tlost in all\tunfinished\tdeadlines met\t")
	for _, g := range r.groups() {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.0f\t%.3f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%.0f\t%d\t%.4f\t\n",
			g.trace, g.policy, len(g.results),
			g.over(func(r Result) float64 { return r.Mean / r.MeanBound }),
			g.over(func(r Result) float64 { return r.P95 }),
			g.over(func(r Result) float64 { return r.Makespan / r.MakespanBound }),
			g.over(func(r Result) float64 { return r.Fragmentation }),
			g.over(func(r Result) float64 { return r.Rebuilds.P50 }),
			g.over(func(r Result) float64 { return r.Rebuilds.P95 }),
			g.over(func(r Result) float64 { return r.Short.P50 }),
			g.over(func(r Result) float64 { return r.Short.P99 }),
			g.over(func(r Result) float64 { return r.ShortCrest.P99 }),
			g.over(func(r Result) float64 { return r.Reclaim.P99 }),
			g.over(func(r Result) float64 { return r.Reclaim.Max }),
			g.total(func(r Result) int { return r.ReclaimOver }),
			g.over(func(r Result) float64 { return r.LostToReclaim }),
			g.over(func(r Result) float64 { return r.LostInAll }),
			g.total(func(r Result) int { return r.Unfinished }),
			g.over(func(r Result) float64 { return r.Met }),
		)
	}
	_ = t.Flush() // a failed write to the terminal leaves nobody to tell
	r.writeGoals(w)
}

// goal is a comparison that a result meets or misses. It does not apply when the
// policy that it compares with was not run.
type goal struct {
	name string
	met  func(v Result) (met, applies bool)
}

func (r Report) goals() []goal {
	return []goal{
		{"mean completion", func(v Result) (bool, bool) { return v.Mean <= meanGoal*v.MeanBound, true }},
		{"rebuild wait", func(v Result) (bool, bool) {
			b, ok := r.same(v, FirstFit().Name)
			return v.Rebuilds.P95 <= rebuildGoal*b.Rebuilds.P95, ok
		}},
		{"short wait at crest", func(v Result) (bool, bool) {
			b, ok := r.same(v, FirstCome().Name)
			return v.ShortCrest.P99 <= shortGoal*b.ShortCrest.P99, ok
		}},
		{"reclaim bound", func(v Result) (bool, bool) { return v.ReclaimOver == 0, true }},
	}
}

// writeGoals says for each policy on how many seeds it met the goals, and on
// which it did not.
func (r Report) writeGoals(w io.Writer) {
	for _, g := range r.groups() {
		fmt.Fprintf(w, "%s %s:", g.trace, g.policy)
		for _, o := range r.goals() {
			fmt.Fprintf(w, " %s %s;", o.name, g.against(o))
		}
		fmt.Fprintln(w)
	}
}

// against says how the results of a group fare against a goal.
func (g group) against(o goal) string {
	var missed []string
	for _, v := range g.results {
		met, applies := o.met(v)
		if !applies {
			return "not compared"
		}
		if !met {
			missed = append(missed, strconv.FormatInt(v.Seed, 10))
		}
	}
	text := fmt.Sprintf("%d/%d", len(g.results)-len(missed), len(g.results))
	if len(missed) > 0 {
		text += " (missed on seed " + strings.Join(missed, " ") + ")"
	}
	return text
}

// same returns the result of another policy on the same trace.
func (r Report) same(v Result, policy string) (Result, bool) {
	i := slices.IndexFunc(r.Results, func(o Result) bool {
		return o.Policy == policy && o.Trace == v.Trace && o.Seed == v.Seed && o.Faults == v.Faults
	})
	if i < 0 {
		return Result{}, false
	}
	return r.Results[i], true
}
