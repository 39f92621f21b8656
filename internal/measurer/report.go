package measurer

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Policies returns the policies to measure, the simplest first.
func Policies() []func() Policy {
	return []func() Policy{FirstCome, FirstFit, BestFit, Placer, PlacerMoving, Reducer}
}

// The goals, as highest ratios.
const (
	meanGoal    = 1.2 // mean completion over its lower bound
	rebuildGoal = 0.5 // p95 wait of rebuilds over that of first-fit
	shortGoal   = 0.1 // p99 wait of short jobs at peak load over that of fcfs-first-fit
)

// Report holds the results of several runs.
type Report struct {
	Results []Result `json:"results"`
}

// group holds the results of one policy on the traces of one deployment.
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

// mean returns the mean of a metric over the seeds.
func (g group) mean(metric func(Result) float64) float64 {
	var all []float64
	for _, r := range g.results {
		all = append(all, metric(r))
	}
	return mean(all)
}

// total returns the sum of a metric over the seeds.
func (g group) total(metric func(Result) int) int {
	n := 0
	for _, r := range g.results {
		n += metric(r)
	}
	return n
}

// WriteText writes a table of the means over the seeds, and which goals were met.
func (r Report) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trace\tpolicy\tseeds\tmean/bound\tp95 s\tmakespan/bound\tfrag\trebuild p50 s\tp95 s"+
		"\tshort p50 s\tp99 s\tpeak p99 s\treclaim p99 s\tmax s\tover bound\tlost to reclaim\tlost total\tunfinished\tdeadlines met\t")
	for _, g := range r.groups() {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.0f\t%.3f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%.0f\t%d\t%.4f\t\n",
			g.trace, g.policy, len(g.results),
			g.mean(func(r Result) float64 { return r.MeanCompletion / r.MeanCompletionBound }),
			g.mean(func(r Result) float64 { return r.P95Completion }),
			g.mean(func(r Result) float64 { return r.Makespan / r.MakespanBound }),
			g.mean(func(r Result) float64 { return r.Fragmentation }),
			g.mean(func(r Result) float64 { return r.RebuildWait.P50 }),
			g.mean(func(r Result) float64 { return r.RebuildWait.P95 }),
			g.mean(func(r Result) float64 { return r.ShortWait.P50 }),
			g.mean(func(r Result) float64 { return r.ShortWait.P99 }),
			g.mean(func(r Result) float64 { return r.ShortWaitAtPeak.P99 }),
			g.mean(func(r Result) float64 { return r.ReclaimWait.P99 }),
			g.mean(func(r Result) float64 { return r.ReclaimWait.Max }),
			g.total(func(r Result) int { return r.ReclaimsOverBound }),
			g.mean(func(r Result) float64 { return r.LostToReclaim }),
			g.mean(func(r Result) float64 { return r.LostTotal }),
			g.total(func(r Result) int { return r.Unfinished }),
			g.mean(func(r Result) float64 { return r.DeadlinesMet }),
		)
	}
	_ = t.Flush() // write errors to the terminal are ignored
	r.writeGoals(w)
}

// goal is a condition that a result meets or misses. It does not apply if the
// policy that it is compared with was not run.
type goal struct {
	name string
	met  func(v Result) (met, applies bool)
}

func (r Report) goals() []goal {
	return []goal{
		{"mean completion", func(v Result) (bool, bool) { return v.MeanCompletion <= meanGoal*v.MeanCompletionBound, true }},
		{"rebuild wait", func(v Result) (bool, bool) {
			b, ok := r.resultOf(v, FirstFit().Name)
			return v.RebuildWait.P95 <= rebuildGoal*b.RebuildWait.P95, ok
		}},
		{"short wait at peak", func(v Result) (bool, bool) {
			b, ok := r.resultOf(v, FirstCome().Name)
			return v.ShortWaitAtPeak.P99 <= shortGoal*b.ShortWaitAtPeak.P99, ok
		}},
		{"reclaim bound", func(v Result) (bool, bool) { return v.ReclaimsOverBound == 0, true }},
	}
}

// writeGoals writes, for each policy, on how many seeds it met each goal and on
// which seeds it missed it.
func (r Report) writeGoals(w io.Writer) {
	for _, g := range r.groups() {
		fmt.Fprintf(w, "%s %s:", g.trace, g.policy)
		for _, o := range r.goals() {
			fmt.Fprintf(w, " %s %s;", o.name, g.summary(o))
		}
		fmt.Fprintln(w)
	}
}

// summary returns the number of results that meet a goal and the seeds that miss it.
func (g group) summary(o goal) string {
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

// resultOf returns the result of another policy on the trace of v.
func (r Report) resultOf(v Result, policy string) (Result, bool) {
	i := slices.IndexFunc(r.Results, func(o Result) bool {
		return o.Policy == policy && o.Trace == v.Trace && o.Seed == v.Seed && o.Faults == v.Faults
	})
	if i < 0 {
		return Result{}, false
	}
	return r.Results[i], true
}
