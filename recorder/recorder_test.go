package recorder_test

import (
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/recorder"
)

func TestSummariesSeparateOrganisations(t *testing.T) {
	is := is.New(t)
	r := recorder.New()
	for i := range 100 {
		r.Observe(recorder.Series{Measure: "wait", Organisation: "a", Class: "short"}, time.Duration(i)*time.Millisecond)
	}
	r.Observe(recorder.Series{Measure: "wait", Organisation: "b", Class: "short"}, 48*time.Hour)
	v := r.Summaries()
	is.Equal(len(v), 2)
	is.Equal(v[0].Count, int64(100))
	is.True(v[0].P50MS > 45 && v[0].P50MS < 55)
	is.True(v[1].MaxMS > float64(23*time.Hour/time.Millisecond)) // 48 hours count as a day and are not dropped
}

func TestNumberOfSeriesIsBounded(t *testing.T) {
	is := is.New(t)
	r := recorder.New()
	for i := range 5000 {
		r.Observe(recorder.Series{Measure: "wait", Organisation: strconv.Itoa(i)}, time.Second)
	}
	is.True(len(r.Summaries()) <= 2001)
}

func TestServeHTTPWritesJSON(t *testing.T) {
	is := is.New(t)
	r := recorder.New()
	r.Count("retries", 3)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	var body struct {
		Counters map[string]int64 `json:"counters"`
	}
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
	is.Equal(body.Counters["retries"], int64(3))
}
