package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/publisher"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
)

// publishPoll is the time between two looks at an entry VM.
const publishPoll = 250 * time.Millisecond

// configurationClient reads and changes the configuration through an entry VM.
type configurationClient struct {
	*Client

	force string // reason to append a change that promises more than workers report
}

// publish brings a request into force under an id, a random one when it is
// empty, and prints how it went.
func (k configurationClient) publish(ctx context.Context, c *Config, id string, q publisher.Request) error {
	w := c.stdout
	if k.Output == outputJSON {
		w = c.stderr
	}
	b := k.publisher()
	b.Report = func(line string) { fmt.Fprintln(w, line) }
	if id != "" {
		b.NewID = func() string { return id }
	}
	r, err := b.Publish(ctx, q)
	if err != nil {
		return publishError(err)
	}
	if k.Output == outputJSON {
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

func (k configurationClient) publisher() *publisher.Publisher {
	return &publisher.Publisher{
		Append:   k.appendChange,
		Withdraw: k.withdraw,
		Read: func(ctx context.Context) (publisher.State, error) {
			a, err := k.configuration(ctx)
			return a.State, err
		},
		Revisions: func(ctx context.Context) ([]publisher.VMRevision, error) {
			a, err := k.configuration(ctx)
			return a.VMs, err
		},
		Wait:  waitPoll,
		Now:   time.Now,
		NewID: uuid.NewString,
	}
}

func (k configurationClient) configuration(ctx context.Context) (publisher.ConfigurationResponse, error) {
	var a publisher.ConfigurationResponse
	err := k.callContext(ctx, http.MethodGet, publisher.PathConfiguration, nil, &a)
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

func (k configurationClient) appendChange(ctx context.Context, c publisher.Change) error {
	path := publisher.PathChanges
	if k.force != "" {
		path += "?" + url.Values{publisher.ParameterForce: {k.force}}.Encode()
	}
	err := k.callContext(ctx, http.MethodPost, path, c, nil)
	if err != nil && surelyNotRun(err) {
		return fmt.Errorf("%w: %w", publisher.ErrNotAppended, err)
	}
	return err
}

func (k configurationClient) withdraw(ctx context.Context, id string) error {
	return k.callContext(ctx, http.MethodDelete, publisher.PathChanges+"/"+url.PathEscape(id), nil, nil)
}

// surelyNotRun reports whether a call that failed has changed nothing: it did
// not reach the server, or the server said so.
func surelyNotRun(err error) bool {
	var q *refuser.ProblemError
	if errors.As(err, &q) {
		return q.Outcome == refuser.OutcomeNotRun
	}
	return notReached(err)
}

// waitPoll waits until the next look, or until ctx ends and returns its error.
func waitPoll(ctx context.Context) error { return sleeper.Sleep(ctx, publishPoll) }
