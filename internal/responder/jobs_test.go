package responder

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func testConfig() decoder.Config {
	return decoder.Config{Services: []decoder.Service{{
		Name: "labels", Organisation: "sul",
		Job: decoder.JobDefaults{Gang: placer.Request{
			Tasks: 2, PerTask: placer.Resources{MilliCores: 500, MemoryMB: 100, Accelerators: 1}, Adjacency: placer.AdjacencyNone,
		}},
	}}}
}

func TestNewJobAppliesServiceDefaultsAndOverrides(t *testing.T) {
	for _, c := range []struct {
		body, wantErr string
		want          placer.Request
	}{
		{
			body: `{"id":"1","service":"labels"}`,
			want: placer.Request{Tasks: 2, PerTask: placer.Resources{MilliCores: 500, MemoryMB: 100, Accelerators: 1}, Adjacency: placer.AdjacencyNone},
		},
		{ // an explicit zero overrides the default
			body: `{"id":"1","service":"labels","accelerators":0,"tasks":3,"adjacency":"rack"}`,
			want: placer.Request{Tasks: 3, PerTask: placer.Resources{MilliCores: 500, MemoryMB: 100}, Adjacency: placer.AdjacencyRack},
		},
		{body: `{"id":"","service":"labels"}`, wantErr: `id: "" does not match ^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`},
		{body: `{"id":"a:b","service":"labels"}`, wantErr: `id: "a:b" does not match ^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`},
		{body: `{"id":"1","service":"tides"}`, wantErr: `service: there is no service "tides" of organisation "sul"`},
		{body: `{"id":"1","service":"labels","tasks":65}`, wantErr: "tasks: 65 is not from 1 to 64"},
		{body: `{"id":"1","service":"labels","memory-mb":-1}`, wantErr: "milli-cores, memory-mb and accelerators must not be negative"},
		{body: `{"id":"1","service":"labels","class":"vip"}`, wantErr: `class: "vip" is neither "urgent" nor "batch"`},
		{body: `{"id":"1","service":"labels","adjacency":"zone"}`, wantErr: `adjacency: "zone" is none of "none", "rack", "worker"`},
	} {
		t.Run(c.body, func(t *testing.T) {
			is := is.New(t)
			var b JobRequest
			is.NoErr(json.Unmarshal([]byte(c.body), &b))
			j, err := newJob(testConfig(), decoder.Organisation{Name: "sul"}, b)
			if c.wantErr != "" {
				is.True(err != nil)
				is.Equal(err.Error(), c.wantErr)
				return
			}
			is.NoErr(err)
			is.Equal(j.Gang, c.want)
			is.Equal(j.ID, "sul:1")
			is.Equal(j.Class, reducer.ClassBatch)
		})
	}
}

// An organisation must not reach jobs of another one through a qualified id.
func TestOnlyOperatorsNameJobsOfOtherOrganisations(t *testing.T) {
	is := is.New(t)
	is.Equal(fullID(decoder.Organisation{Name: "sul"}, "dee:1"), "sul:dee:1")
	is.Equal(fullID(decoder.Organisation{Name: "ops", Operator: true}, "dee:1"), "dee:1")
}

// Metrics must not reveal other organisations to a caller that is not an operator.
func TestMetricsRequireOperator(t *testing.T) {
	is := is.New(t)
	o := decoder.Organisation{Name: "sul"}
	r := &Responder{
		Authenticate: func(*http.Request) (decoder.Organisation, error) { return o, nil },
		Metrics:      http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
	}
	getMetrics := func() int {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, PathMetrics, nil))
		return w.Code
	}
	is.Equal(getMetrics(), http.StatusForbidden) // metrics name other organisations
	o.Operator = true
	is.Equal(getMetrics(), http.StatusOK)
}
