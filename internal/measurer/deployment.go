package measurer

import (
	"bytes"
	"embed"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

//go:embed deployments/*.toml
var deploymentFiles embed.FS

// Deployments returns the names of the deployments that traces are generated for.
func Deployments() []string { return []string{"etiquetar", "morfa"} }

// deployment describes the workers, organisations and workload of a deployment.
type deployment struct {
	Name   string   `toml:"name"`
	Start  duration `toml:"start"` // time of day
	Length duration `toml:"length"`
	Peak   struct {
		After  duration `toml:"after"`
		Length duration `toml:"length"`
	} `toml:"crest"`
	Workers struct {
		Count   int `toml:"count"`
		PerRack int `toml:"per-rack"`
		Zones   int `toml:"zones"`
		amount
	} `toml:"workers"`
	Organisations []string    `toml:"organisations"`
	Guarantees    []guarantee `toml:"guarantees"`
	Streams       []stream    `toml:"streams"`
}

// guarantee is the capacity guarantee of one organisation.
type guarantee struct {
	Organisation string           `toml:"organisation"`
	Name         string           `toml:"name"`
	Blocks       int              `toml:"blocks"`
	Block        amount           `toml:"block"`
	Adjacency    placer.Adjacency `toml:"adjacency"`
	From         duration         `toml:"from"`
	To           duration         `toml:"to"`
	ReclaimBound duration         `toml:"reclaim-bound"`
	Grace        duration         `toml:"grace"`
}

// stream is a stream of jobs of one kind. They arrive in waves, or make up a
// share of the work, in bursts or evenly.
type stream struct {
	Organisations  []string         `toml:"organisations"` // round robin
	Service        string           `toml:"service"`
	Kind           Kind             `toml:"kind"`
	Class          reducer.Class    `toml:"class"`
	Tasks          []int            `toml:"tasks"` // gang sizes, round robin
	Task           amount           `toml:"task"`
	Adjacency      placer.Adjacency `toml:"adjacency"`
	Median         duration         `toml:"median"` // run time
	Spread         float64          `toml:"spread"` // standard deviation of the logarithm of the run time
	Checkpointable bool             `toml:"checkpointable"`
	Share          float64          `toml:"share"`    // of the work outside waves
	Deadlines      []duration       `toml:"openings"` // offsets from the start, ascending; assigned round robin
	Waves          struct {
		Count    int      `toml:"count"`
		Jobs     int      `toml:"jobs"` // per wave
		After    duration `toml:"after"`
		Interval duration `toml:"spaced"`
		Within   duration `toml:"within"`
	} `toml:"waves"`
	Bursts struct {
		Count    int      `toml:"count"`
		Interval duration `toml:"apart"`
		Within   duration `toml:"within"`
	} `toml:"bursts"`
}

// amount is a quantity of each resource.
type amount struct {
	Cores        int `toml:"cores"`
	Gigabytes    int `toml:"gigabytes"`
	Accelerators int `toml:"accelerators"`
}

func (a amount) resources() placer.Resources {
	return placer.Resources{
		MilliCores:   a.Cores * 1000,
		MemoryMB:     a.Gigabytes * 1000,
		Accelerators: a.Accelerators,
	}
}

// duration is a time.Duration in the form 1h30m.
type duration struct{ time.Duration }

// UnmarshalText parses a duration.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

func loadDeployment(name string) (*deployment, error) {
	text, err := deploymentFiles.ReadFile("deployments/" + name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("read deployment %q: %w", name, err)
	}
	return decodeDeployment(name, text)
}

func decodeDeployment(name string, text []byte) (*deployment, error) {
	d := &deployment{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(d); err != nil {
		return nil, fmt.Errorf("decode deployment %q: %w", name, err)
	}
	return d, nil
}

// workers returns idle workers in racks, with the racks distributed over the zones.
func (d *deployment) workers() []placer.Worker {
	all := make([]placer.Worker, d.Workers.Count)
	for i := range all {
		rack := i / d.Workers.PerRack
		all[i] = placer.Worker{
			ID:       fmt.Sprintf("worker-%04d", i),
			Rack:     fmt.Sprintf("rack-%03d", rack),
			Zone:     fmt.Sprintf("zone-%d", rack%d.Workers.Zones),
			Capacity: d.Workers.resources(),
			Free:     d.Workers.resources(),
		}
	}
	return all
}

// config returns the configuration of the deployment.
func (d *deployment) config() decoder.Config {
	c := decoder.Config{Revision: 1}
	for _, name := range d.Organisations {
		o := decoder.Organisation{Name: name, Weight: 1, Teams: []decoder.Team{{Name: name}}}
		for _, g := range d.Guarantees {
			if g.Organisation == name {
				o.Guarantees = append(o.Guarantees, g.toConfig())
			}
		}
		c.Organisations = append(c.Organisations, o)
		for _, s := range []string{"batch", "proof", "rebuild"} {
			c.Services = append(c.Services, decoder.Service{Name: name + "-" + s, Organisation: name})
		}
	}
	return c
}

func (g guarantee) toConfig() decoder.Guarantee {
	return decoder.Guarantee{
		Name:         g.Name,
		Blocks:       g.Blocks,
		Block:        g.Block.resources(),
		Adjacency:    g.Adjacency,
		From:         g.From.Duration,
		To:           g.To.Duration,
		TimeZone:     "UTC",
		Location:     time.UTC,
		ReclaimBound: g.ReclaimBound.Duration,
		Grace:        g.Grace.Duration,
	}
}
