package profiler_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
)

// Guards against a next leader that knows other speeds than were stored, and against records
// that grow with the number of workers or are written without need.
func TestRecordKeepsSpeeds(t *testing.T) {
	is := is.New(t)
	speedOf := func(i int) float64 { return []float64{1.8, 0.83, 0.83, 0.83}[i*4/workers] * []float64{1, 1.3}[i%2] }
	var p, next profiler.Profiler
	play(&p, rand.New(rand.NewPCG(1, 1)), 300, speedOf)
	p.Solve()
	r := p.Record()
	b, err := json.Marshal(r)
	is.NoErr(err)
	is.True(len(b) < 8<<10)
	is.True(!r.Differs(p.Record(), 1.1))
	is.True(r.Differs(profiler.Record{}, 1.1))
	is.True(profiler.Record{}.Differs(r, 1.1))

	decoded, err := profiler.DecodeRecord(b)
	is.NoErr(err)
	next.Restore(decoded)
	fast := 0
	for i, v := range next.Speeds(places()) {
		if v.Fast && i*4/workers == 0 {
			fast++
		}
	}
	is.True(fast >= workers/4*9/10)
	play(&next, rand.New(rand.NewPCG(2, 1)), 300, func(i int) float64 { return 1 / speedOf(i) }) // the workers were replaced
	next.Solve()
	is.True(next.LogSpeed(placeOf(0)) < next.LogSpeed(placeOf(workers-1)))
}

// Guards against speeds from a malformed record.
func TestMalformedRecords(t *testing.T) {
	many := map[string]profiler.Entry{}
	for i := range 100 {
		many[strconv.Itoa(i)] = profiler.Entry{Log: 0.1, Weight: 1}
	}
	long, err := json.Marshal(profiler.Record{Workers: many})
	is.New(t).NoErr(err)
	for _, b := range []string{
		"", "[]", `{"zones":3}`, `{"zones":{"z":{"log":9,"n":1}}}`, `{"racks":{"z":{"log":1,"n":-1}}}`, `{"workers":{"z":{"log":1,"n":1e9}}}`, string(long),
	} {
		is := is.New(t)
		_, err := profiler.DecodeRecord([]byte(b))
		is.True(err != nil)
	}
	var p profiler.Profiler
	p.Restore(profiler.Record{}) // a missing one
	for _, v := range p.Speeds(places()) {
		is.New(t).True(!v.Slow && math.Abs(v.Relative-1) < 1e-9)
	}
}
