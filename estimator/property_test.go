package estimator

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20260704")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

func drawTime(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(72*time.Hour)).Draw(t, label))
}

func TestQuantileBoundsObservedTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times []time.Duration
		e, k := New(1), JobKey("morfa", "tide", "batch", 1)
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			d := drawTime(t, "run")
			times = append(times, d)
			e = e.With(k, d)
		}
		slices.Sort(times)
		i := is.New(t)
		least, most := e.Quantile(k, 0, 0), e.Quantile(k, 1, 0)
		i.True(least >= times[0] && float64(least) <= 1.42*float64(times[0]))
		i.True(most >= times[len(times)-1] && float64(most) <= 1.42*float64(times[len(times)-1]))
		i.True(e.Quantile(k, 0.5, 0) <= e.Quantile(k, 0.9, 0))
	})
}

func TestDeclaredTimeFadesWithObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared, actual := drawTime(t, "declared"), drawTime(t, "real")
		e, k := New(4), RouteKey("tide", "/gather")
		i := is.New(t)
		first := e.Quantile(k, 0.5, declared)
		i.True(first >= declared && float64(first) <= 1.42*float64(declared))
		for range 12 {
			e = e.With(k, actual)
		}
		learned := e.Quantile(k, 0.95, declared)
		i.True(learned >= actual && float64(learned) <= 1.42*float64(actual)) // however wrong the declared time was
	})
}

func TestOldObservationsFade(t *testing.T) {
	e, k := New(4), JobKey("etiquetar", "labels", "batch", 8)
	for range 500 {
		e = e.With(k, time.Hour)
	}
	for range 200 {
		e = e.With(k, time.Minute)
	}
	is.New(t).True(e.Quantile(k, 0.95, 0) < 2*time.Minute)
}

func TestRemainingOfStraggler(t *testing.T) {
	e, k := New(4), JobKey("etiquetar", "labels", "batch", 8)
	for range 9 {
		e = e.With(k, time.Minute)
	}
	e = e.With(k, time.Hour)
	i := is.New(t)
	i.True(e.Remaining(k, 0.5, 0, 0) < 2*time.Minute)
	i.True(e.Remaining(k, 0.5, 0, 10*time.Minute) >= 50*time.Minute) // only the straggler ran that long
	i.Equal(e.Remaining(k, 0.5, 0, 3*time.Hour), 3*time.Hour)        // no observation is that long
	i.True(e.Remaining(k, 0.5, time.Minute, 10*time.Minute) >= 50*time.Minute)
}

func TestLeastRecentlyObservedKeyIsEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keys = 5
		e, i := New(keys), is.New(t)
		before := e
		var order []int // of observation, latest last
		for range rapid.IntRange(0, 40).Draw(t, "n") {
			n := rapid.IntRange(0, 9).Draw(t, "key")
			e = e.With(RouteKey("tide", strconv.Itoa(n)), time.Second)
			order = append(slices.DeleteFunc(order, func(o int) bool { return o == n }), n)
		}
		kept := order[max(0, len(order)-keys):]
		i.Equal(e.Len(), len(kept))
		for n := range 10 {
			i.Equal(e.Quantile(RouteKey("tide", strconv.Itoa(n)), 1, 0) > 0, slices.Contains(kept, n))
		}
		i.Equal(before.Len(), 0) // With does not change its receiver
	})
}

func BenchmarkWith(b *testing.B) {
	for _, keys := range []int{64, DefaultKeys} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			b.ReportAllocs()
			e := New(keys)
			for n := 0; b.Loop(); n++ {
				e = e.With(JobKey("morfa", strconv.Itoa(n%(2*keys)), "batch", 8), time.Second)
			}
		})
	}
}

func BenchmarkQuantile(b *testing.B) {
	b.ReportAllocs()
	e, k := New(4), JobKey("etiquetar", "labels", "batch", 8)
	e = e.With(k, time.Minute)
	for b.Loop() {
		e.Quantile(k, 0.95, time.Hour)
	}
}
