// Package recorder keeps counters, and histograms per organisation and class, and
// exports them in the format of expvar.
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

// Range and precision of every histogram.
const (
	minMicros         = 1
	maxMicros         = int64(24 * time.Hour / 1000) // microseconds in a day
	significantDigits = 2                            // decimal
)

// maxSeries limits the number of series, and so the memory. Above it, new series
// are recorded under organisation and class "other".
const maxSeries = 2000 // 180 teams × 2 classes × 5 measures, with headroom

// Series identifies one histogram.
type Series struct {
	Measure      string // measured quantity, such as "wait"
	Organisation string
	Class        string
}

// Recorder holds the metrics of one process. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	histograms map[Series]*hdrhistogram.Histogram
	counters   *expvar.Map
}

// New returns an empty recorder. It registers nothing globally, so that a process
// can hold several recorders.
func New() *Recorder {
	return &Recorder{
		histograms: map[Series]*hdrhistogram.Histogram{},
		counters:   new(expvar.Map).Init(),
	}
}

// Observe adds a duration to a series. A duration longer than a day counts as a day.
func (r *Recorder) Observe(s Series, d time.Duration) {
	v := min(max(d.Microseconds(), minMicros), maxMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.histograms[s]
	if !ok && len(r.histograms) >= maxSeries {
		s.Organisation, s.Class = "other", "other"
		h, ok = r.histograms[s]
	}
	if !ok {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		r.histograms[s] = h
	}
	_ = h.RecordValue(v) // can't fail: v is in range
}

// Count adds n to a counter.
func (r *Recorder) Count(name string, n int64) { r.counters.Add(name, n) }

// Set sets a counter that can also fall.
func (r *Recorder) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	r.counters.Set(name, v)
}

// Counter returns the value of a counter.
func (r *Recorder) Counter(name string) int64 {
	if v, ok := r.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Summary is the exported summary of one histogram. Durations are in milliseconds.
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

// Summaries returns the summaries of all histograms, sorted by series.
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

// ServeHTTP writes all metrics as a JSON object in the format of expvar.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	body := struct {
		Counters   json.RawMessage `json:"counters"`
		Histograms []Summary       `json:"histograms"`
		Memory     json.RawMessage `json:"memstats"`
	}{json.RawMessage(r.counters.String()), r.Summaries(), memoryStats()}
	_ = json.NewEncoder(w).Encode(body) // fails only if the client disconnected
}

func memoryStats() json.RawMessage {
	if v := expvar.Get("memstats"); v != nil {
		return json.RawMessage(v.String())
	}
	return json.RawMessage("null")
}

func summarise(s Series, h *hdrhistogram.Histogram) Summary {
	const microsPerMS = 1000
	return Summary{
		Measure:      s.Measure,
		Organisation: s.Organisation,
		Class:        s.Class,
		Count:        h.TotalCount(),
		MeanMS:       h.Mean() / microsPerMS,
		P50MS:        float64(h.ValueAtQuantile(50)) / microsPerMS,
		P99MS:        float64(h.ValueAtQuantile(99)) / microsPerMS,
		MaxMS:        float64(h.Max()) / microsPerMS,
	}
}
