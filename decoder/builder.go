package decoder

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// located is a value with the table that it was read from.
type located[T any] struct {
	value T
	scope scope
}

// tables holds the decoded tables of one file or of all files.
type tables struct {
	organisations []located[Organisation]
	guarantees    []located[Guarantee]
	services      []located[Service]
	capacity      []located[WorkerGroup]
}

// builder collects the tables and problems of all files.
type builder struct {
	tables

	problems Problems
}

func (b *builder) add(t tables) {
	b.organisations = append(b.organisations, t.organisations...)
	b.guarantees = append(b.guarantees, t.guarantees...)
	b.services = append(b.services, t.services...)
	b.capacity = append(b.capacity, t.capacity...)
}

// addProblem adds the problem that a value of a table is not allowed in combination
// with other tables.
func (b *builder) addProblem(s scope, key string, value any, allowed string) {
	b.problems = append(b.problems, s.problem(key, value, allowed))
}

// readTables reads the tables of one file.
func readTables(p *sourceFile, r rawFile) tables {
	var t tables
	root := scope{file: p}
	for _, n := range slices.Sorted(maps.Keys(r.Organisation)) {
		s := root.child("organisation").child(n)
		o, gs := organisation(s, n, r.Organisation[n])
		t.organisations = append(t.organisations, located[Organisation]{o, s})
		t.guarantees = append(t.guarantees, gs...)
	}
	for _, n := range slices.Sorted(maps.Keys(r.Service)) {
		s := root.child("service").child(n)
		t.services = append(t.services, located[Service]{service(s, n, r.Service[n]), s})
	}
	for i, g := range r.Capacity {
		e := root.entry("capacity", i)
		t.capacity = append(t.capacity, located[WorkerGroup]{workerGroup(e, g), e})
	}
	return t
}

const (
	defaultWeight = 100
	maxWeight     = 10_000
	maxCount      = 10_000 // racks, workers per rack, blocks or tasks
)

func organisation(s scope, name string, r rawOrganisation) (Organisation, []located[Guarantee]) {
	var gs []located[Guarantee]
	s.checkName(name)
	o := Organisation{
		Name:      name,
		KeyHashes: keyHashes(s, r.KeyHashes),
		Operator:  s.boolean("operator", r.Operator),
		Weight:    s.integer("weight", r.Weight, defaultWeight, 1, maxWeight),
	}
	for i, g := range r.Guarantee {
		e := s.entry("guarantee", i)
		v := guarantee(e, g)
		if v.Name != "" && slices.ContainsFunc(o.Guarantees, func(p Guarantee) bool { return p.Name == v.Name }) {
			e.addProblem("name", v.Name, "a guarantee name that is unique within the organisation")
		}
		o.Guarantees = append(o.Guarantees, v)
		gs = append(gs, located[Guarantee]{v, e})
	}
	slices.SortStableFunc(o.Guarantees, func(a, b Guarantee) int { return strings.Compare(a.Name, b.Name) })
	for _, n := range slices.Sorted(maps.Keys(r.Team)) {
		t := s.child("team").child(n)
		t.checkName(n)
		o.Teams = append(o.Teams, Team{Name: n, Quota: t.resources(r.Team[n].rawResources, placer.Resources{})})
	}
	return o, gs
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// keyHashes reads the hashes of an organisation's bearer keys.
func keyHashes(s scope, v any) []string {
	if v == nil {
		return nil
	}
	const allowed = "an array of hashes of 64 lowercase hexadecimal digits, as printed by lacewingdoor key"
	list, ok := v.([]any)
	if !ok {
		s.addProblem("key-hashes", v, allowed)
		return nil
	}
	var hashes []string
	for i, e := range list {
		h := s.text(fmt.Sprintf("key-hashes[%d]", i), e, "", allowed, hashPattern.MatchString)
		hashes = append(hashes, h)
	}
	return hashes
}

const (
	defaultReclaimBound = time.Minute
	defaultGrace        = 20 * time.Second
	maxReclaimBound     = time.Hour
)

func guarantee(s scope, r rawGuarantee) Guarantee {
	g := Guarantee{
		Name:         s.name("name", r.Name),
		Blocks:       s.integer("blocks", r.Blocks, 1, 1, maxCount),
		Block:        s.resources(r.rawResources, placer.Resources{}),
		Adjacency:    s.adjacency(r.Adjacency, placer.AdjacencyWorker),
		ReclaimBound: s.duration("reclaim-bound", r.ReclaimBound, defaultReclaimBound, time.Second, maxReclaimBound),
	}
	g.From, g.To = s.hours("hours", r.Hours)
	g.TimeZone, g.Location = s.timeZone("time-zone", r.TimeZone)
	g.Grace = s.duration("grace", r.Grace, min(defaultGrace, g.ReclaimBound/2), 0, g.ReclaimBound)
	if g.Block == (placer.Resources{}) {
		s.addProblem("", nil, "at least one of milli-cores, memory-mb and accelerators above 0")
	}
	return g
}

func workerGroup(s scope, r rawWorkerGroup) WorkerGroup {
	return WorkerGroup{
		Racks:          s.integer("racks", r.Racks, 1, 1, maxCount),
		WorkersPerRack: s.integer("workers-per-rack", r.WorkersPerRack, 1, 1, maxCount),
		Worker:         s.resources(r.rawResources, placer.Resources{}),
	}
}
