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
var deployments embed.FS

// Deployments returns the names of the deployments that traces are made of.
func Deployments() []string { return []string{"etiquetar", "morfa"} }

// deployment describes the workers and the work of a deployment.
type deployment struct {
	Name   string   `toml:"name"`
	Start  duration `toml:"start"` // time of day
	Length duration `toml:"length"`
	Crest  struct {
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

// guarantee is a guarantee of one organisation.
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

// stream is jobs of one kind. They come in waves, or else make up a share of
// the work, in bursts or evenly.
type stream struct {
	Organisations  []string         `toml:"organisations"` // in turn
	Service        string           `toml:"service"`
	Kind           Kind             `toml:"kind"`
	Class          reducer.Class    `toml:"class"`
	Tasks          []int            `toml:"tasks"` // in turn
	Task           amount           `toml:"task"`
	Adjacency      placer.Adjacency `toml:"adjacency"`
	Median         duration         `toml:"median"` // of the run times
	Spread         float64          `toml:"spread"` // standard deviation of their logarithm
	Checkpointable bool             `toml:"checkpointable"`
	Share          float64          `toml:"share"`    // of the work that comes in no wave
	Openings       []duration       `toml:"openings"` // after the start, rising; jobs are for one of them in turn
	Waves          struct {
		Count  int      `toml:"count"`
		Jobs   int      `toml:"jobs"` // in each
		After  duration `toml:"after"`
		Spaced duration `toml:"spaced"`
		Within duration `toml:"within"`
	} `toml:"waves"`
	Bursts struct {
		Count  int      `toml:"count"`
		Apart  duration `toml:"apart"`
		Within duration `toml:"within"`
	} `toml:"bursts"`
}

// amount is an amount of resources.
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

// duration is a time.Duration written as 1h30m.
type duration struct{ time.Duration }

// UnmarshalText reads a duration.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

func load(name string) (*deployment, error) {
	text, err := deployments.ReadFile("deployments/" + name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("read deployment %q: %w", name, err)
	}
	return decode(name, text)
}

func decode(name string, text []byte) (*deployment, error) {
	d := &deployment{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(d); err != nil {
		return nil, fmt.Errorf("decode deployment %q: %w", name, err)
	}
	return d, nil
}

// workers returns idle workers in racks, the racks dealt out to the zones.
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

// config returns the configuration that the deployment's operators publish.
func (d *deployment) config() decoder.Config {
	c := decoder.Config{Revision: 1}
	for _, name := range d.Organisations {
		o := decoder.Organisation{Name: name, Weight: 1, Teams: []decoder.Team{{Name: name}}}
		for _, g := range d.Guarantees {
			if g.Organisation == name {
				o.Guarantees = append(o.Guarantees, g.decoded())
			}
		}
		c.Organisations = append(c.Organisations, o)
		for _, s := range []string{"batch", "proof", "rebuild"} {
			c.Services = append(c.Services, decoder.Service{Name: name + "-" + s, Organisation: name})
		}
	}
	return c
}

func (g guarantee) decoded() decoder.Guarantee {
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
