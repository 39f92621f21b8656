package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"path"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// publishPoll is the time between two looks at an entry VM.
const publishPoll = 250 * time.Millisecond

// PublishCmd brings configuration files into force.
type PublishCmd struct {
	Client       `embed:""`
	AllowRemoval bool     `help:"Let organisations and services disappear."`
	Base         int64    `help:"Revision that the files were made against. A file that changed since is a conflict."`
	Dir          string   `arg:"" help:"Directory of which every *.toml file is published." type:"existingdir"`
	DryRun       bool     `help:"Show the difference and stop."`
	Prefix       string   `help:"Put before the name of each file, as in labels/service.toml."`
	Remove       []string `help:"Name of a file in force that is to be removed; may be repeated."`
}

// Run publishes and waits until every live entry VM has the change.
func (p *PublishCmd) Run(c *Config) error {
	files, err := collectFiles(p.Dir)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	for i := range files {
		files[i].Name = path.Join(p.Prefix, files[i].Name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	defer cancel()
	w := c.stdout
	if p.Output == outputJSON {
		w = c.stderr
	}
	b := p.publisher()
	b.Report = func(line string) { fmt.Fprintln(w, line) }
	r, err := b.Publish(ctx, publisher.Request{
		Files: files, Remove: p.Remove, Base: p.Base, AllowRemoval: p.AllowRemoval, DryRun: p.DryRun,
	})
	if err != nil {
		return publishError(err)
	}
	if p.Output == outputJSON {
		return writeJSON(c.stdout, r)
	}
	return nil
}

// publishError gives each error of a publication its exit code.
func publishError(err error) error {
	var problems decoder.Problems
	var dropped *publisher.DroppedError
	switch {
	case errors.Is(err, publisher.ErrUnknown):
		return &ExitError{ExitUnknown, fmt.Errorf("%w; publish the same files again to find out", err)}
	case errors.As(err, &problems), errors.As(err, &dropped):
		return &ExitError{ExitUsage, err}
	default:
		return &ExitError{ExitFailed, err}
	}
}

func (p *PublishCmd) publisher() *publisher.Publisher {
	return &publisher.Publisher{
		Append:   p.appendChange,
		Withdraw: p.withdraw,
		Read: func(ctx context.Context) (publisher.State, error) {
			a, err := p.configuration(ctx)
			return a.State, err
		},
		Revisions: func(ctx context.Context) ([]publisher.VMRevision, error) {
			a, err := p.configuration(ctx)
			return a.VMs, err
		},
		Wait:  waitPoll,
		Now:   time.Now,
		NewID: uuid.NewString,
	}
}

func (p *PublishCmd) configuration(ctx context.Context) (publisher.ConfigurationResponse, error) {
	var a publisher.ConfigurationResponse
	err := p.callContext(ctx, http.MethodGet, publisher.PathConfiguration, nil, &a)
	if err != nil && lasting(err) {
		err = fmt.Errorf("%w: %w", publisher.ErrRefused, err)
	}
	return a, err
}

// lasting reports whether an error comes again however often a call is made.
func lasting(err error) bool {
	var x *ExitError
	if errors.As(err, &x) && x.Code == ExitUsage {
		return true
	}
	var q *refuser.ProblemError
	return errors.As(err, &q) && q.Status >= http.StatusBadRequest && q.Status < http.StatusInternalServerError
}

func (p *PublishCmd) appendChange(ctx context.Context, c publisher.Change) error {
	err := p.callContext(ctx, http.MethodPost, publisher.PathChanges, c, nil)
	if err != nil && surelyNotRun(err) {
		return fmt.Errorf("%w: %w", publisher.ErrNotAppended, err)
	}
	return err
}

func (p *PublishCmd) withdraw(ctx context.Context, id string) error {
	return p.callContext(ctx, http.MethodDelete, publisher.PathChanges+"/"+url.PathEscape(id), nil, nil)
}

// surelyNotRun reports whether a call that failed has changed nothing: it did
// not reach the server, or the server said so.
func surelyNotRun(err error) bool {
	var q *refuser.ProblemError
	if errors.As(err, &q) {
		return q.Outcome == refuser.OutcomeNotRun
	}
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// waitPoll waits until the next look, or until ctx ends and returns its error.
func waitPoll(ctx context.Context) error {
	t := time.NewTimer(publishPoll)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
