package cmd

import (
	"context"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// PublishCmd publishes configuration files.
type PublishCmd struct {
	Client       `embed:""`
	AllowRemoval bool     `help:"Let organisations and services disappear."`
	Base         int64    `help:"Revision that the files were made against. A file that changed since is a conflict."`
	Dir          string   `arg:"" help:"Directory of which every *.toml file is published." type:"existingdir"`
	DryRun       bool     `help:"Show the difference and stop."`
	Force        string   `help:"Reason to publish guarantees that promise more than workers report; it is logged." placeholder:"REASON"`
	ID           string   `help:"Id of the change; the same id twice is one change. A random one when left out."`
	Prefix       string   `help:"Put before the name of each file, as in labels/service.toml."`
	Remove       []string `help:"Name of a file in force that is to be removed; may be repeated."`
}

// Run publishes the files and waits until all live entry VMs have the change.
func (p *PublishCmd) Run(c *Config) error {
	files, err := collectWithPrefix(p.Prefix, p.Dir)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	defer cancel()
	return configurationClient{Client: &p.Client, force: p.Force}.publish(ctx, c, p.ID, publisher.Request{
		Files: files, Remove: p.Remove, Base: p.Base, AllowRemoval: p.AllowRemoval, DryRun: p.DryRun,
	})
}
