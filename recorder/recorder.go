// Package recorder keeps counters and histograms per organisation and class, and
// shows them as expvar variables.
package recorder

import (
	"encoding/json"
	"expvar"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of every histogram.
const (
	lowest  = 1                            // microsecond
	highest = int64(24 * time.Hour / 1000) // microseconds in a day
	digits  = 2                            // significant decimal digits
)

// maxSeries bounds the memory: past it, new series are counted under "other".
const maxSeries = 2000 // 180 teams × 2 classes × 5 measures, with room

// Series names one histogram.
type Series struct {
	Measure      string // what is measured, such as "wait"
	Organisation string
	Class        string
}

// Recorder holds the metrics of one process. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	histograms map[Series]*hdrhistogram.Histogram
	counters   *expvar.Map
}

// New returns an empty recorder. Nothing is registered globally, so that several
// can live in one process.
func New() *Recorder {
	return &Recorder{
		histograms: map[Series]*hdrhistogram.Histogram{},
		counters:   new(expvar.Map).Init(),
	}
}

// Observe adds one duration to a series; one longer than a day counts as a day.
func (r *Recorder) Observe(s Series, d time.Duration) {
	v := min(max(d.Microseconds(), lowest), highest)
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.histograms[s]
	if !ok && len(r.histograms) >= maxSeries {
		s.Organisation, s.Class = "other", "other"
		h, ok = r.histograms[s]
	}
	if !ok {
		h = hdrhistogram.New(lowest, highest, digits)
		r.histograms[s] = h
	}
	_ = h.RecordValue(v) // v was brought into range above
}

// Count adds n to a counter.
func (r *Recorder) Count(name string, n int64) { r.counters.Add(name, n) }

// Counter returns the value of a counter.
func (r *Recorder) Counter(name string) int64 {
	if v, ok := r.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Summary is what is shown of one histogram. Durations are in milliseconds.
type Summary struct {
	Measure      string  `json:"measure"`
	Organisation string  `json:"organisation"`
	Class        string  `json:"class"`
	Count        int64   `json:"count"`
	MeanMS       float64 `json:"mean-ms"`
	P50MS        float64 `json:"p50-ms"`
	P99MS        float64 `json:"p99-ms"`
	MaxMS        float64 `json:"max-ms"`
}

// Summaries returns all histograms in brief, sorted by series.
func (r *Recorder) Summaries() []Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := make([]Summary, 0, len(r.histograms))
	for s, h := range r.histograms {
		v = append(v, summarise(s, h))
	}
	slices.SortFunc(v, func(a, b Summary) int {
		return strings.Compare(a.Measure+"\x00"+a.Organisation+"\x00"+a.Class,
			b.Measure+"\x00"+b.Organisation+"\x00"+b.Class)
	})
	return v
}

// ServeHTTP answers with all metrics in the layout of expvar.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	body := struct {
		Counters   json.RawMessage `json:"counters"`
		Histograms []Summary       `json:"histograms"`
		Memory     json.RawMessage `json:"memstats"`
	}{json.RawMessage(r.counters.String()), r.Summaries(), memory()}
	_ = json.NewEncoder(w).Encode(body) // the reader went away
}

func memory() json.RawMessage {
	if v := expvar.Get("memstats"); v != nil {
		return json.RawMessage(v.String())
	}
	return json.RawMessage("null")
}

func summarise(s Series, h *hdrhistogram.Histogram) Summary {
	const perMS = 1000 // microseconds in a millisecond
	return Summary{
		Measure:      s.Measure,
		Organisation: s.Organisation,
		Class:        s.Class,
		Count:        h.TotalCount(),
		MeanMS:       h.Mean() / perMS,
		P50MS:        float64(h.ValueAtQuantile(50)) / perMS,
		P99MS:        float64(h.ValueAtQuantile(99)) / perMS,
		MaxMS:        float64(h.Max()) / perMS,
	}
}
