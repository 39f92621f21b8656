package decoder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The defaults and limits of a service.
const (
	defaultRetryPercent = 10
	maxRetryPercent     = 100
	defaultQueueLimit   = 1000    // requests
	maxQueueLimit       = 100_000 // requests
	maxShare            = 100     // percent

	defaultDeadline = 10 * time.Second
	minDeadline     = 10 * time.Millisecond
	maxDeadline     = 24 * time.Hour
	defaultMaxBody  = 1 << 20 // bytes
	maxMaxBody      = 1 << 30 // bytes

	defaultShortRun = 100 * time.Millisecond
	defaultLongRun  = 10 * time.Second
	defaultJobRun   = 10 * time.Minute
	minRun          = time.Millisecond
	maxRun          = 30 * 24 * time.Hour

	defaultTaskMilliCores = 1000
	defaultTaskMemoryMB   = 1024
)

// The classes of routes.
const (
	ClassShort = "short"
	ClassLong  = "long"
)

func service(s scope, name string, r rawService) Service {
	s.checkName(name)
	v := Service{
		Name:         name,
		Organisation: s.name("organisation", r.Organisation),
		Share:        s.integer("share", r.Share, 0, 0, maxShare),
		RetryPercent: s.integer("retry-percent", r.RetryPercent, defaultRetryPercent, 0, maxRetryPercent),
		QueueLimit:   s.integer("queue-limit", r.QueueLimit, defaultQueueLimit, 1, maxQueueLimit),
		Job:          job(s.child("job"), r.Job),
	}
	for i, q := range r.Route {
		e := s.entry("route", i)
		t := route(e, q)
		if t.Path != "" && slices.ContainsFunc(v.Routes, func(p Route) bool { return p.Path == t.Path }) {
			e.addProblem("path", t.Path, "a path that is unique within the service")
		}
		v.Routes = append(v.Routes, t)
	}
	if len(v.Routes) == 0 {
		v.Routes = []Route{route(s, rawRoute{})}
	}
	slices.SortStableFunc(v.Routes, func(a, b Route) int { return strings.Compare(a.Path, b.Path) })
	return v
}

func route(s scope, r rawRoute) Route {
	t := Route{
		Path:          s.text("path", cmp.Or(r.Path, any("/")), "", `a path that begins with "/"`, validPath),
		Class:         s.choice("class", r.Class, ClassShort, ClassLong),
		NonIdempotent: s.boolean("non-idempotent", r.NonIdempotent),
		Deadline:      s.duration("deadline", r.Deadline, defaultDeadline, minDeadline, maxDeadline),
		MaxBody:       int64(s.integer("max-body", r.MaxBody, defaultMaxBody, 1, maxMaxBody)),
	}
	run := defaultShortRun
	if t.Class == ClassLong {
		run = defaultLongRun
	}
	t.DeclaredRun = s.duration("declared-run", r.DeclaredRun, min(run, t.Deadline), minRun, maxRun)
	return t
}

func validPath(p string) bool {
	return strings.HasPrefix(p, "/") && !strings.ContainsAny(p, "?# \t\r\n") && !strings.Contains(p, "//")
}

func job(s scope, r rawJob) JobDefaults {
	perTask := placer.Resources{MilliCores: defaultTaskMilliCores, MemoryMB: defaultTaskMemoryMB}
	return JobDefaults{
		Gang: placer.Request{
			Tasks:     s.integer("tasks", r.Tasks, 1, 1, maxCount),
			PerTask:   s.resources(r.rawResources, perTask),
			Adjacency: s.adjacency(r.Adjacency, placer.AdjacencyNone),
		},
		Checkpointable: s.boolean("checkpointable", r.Checkpointable),
		NonIdempotent:  s.boolean("non-idempotent", r.NonIdempotent),
		DeclaredRun:    s.duration("declared-run", r.DeclaredRun, defaultJobRun, minRun, maxRun),
	}
}
