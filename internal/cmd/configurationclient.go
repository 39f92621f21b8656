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

// publishPollInterval is the time between polls of an entry VM.
const publishPollInterval = 250 * time.Millisecond

// configurationClient reads and changes the configuration through an entry VM.
type configurationClient struct {
	*Client

	force string // reason to append a change that guarantees more capacity than workers report
}

// publish publishes a request under the given id, or a random one if it is empty, and
// prints the progress and the result.
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

// publishError maps an error of a publication to its exit code.
func publishError(err error) error {
	var problems decoder.Problems
	var removal *publisher.RemovalError
	switch {
	case errors.Is(err, publisher.ErrUnknown):
		return &ExitError{ExitUnknown, fmt.Errorf("%w; publish the same files again to find out", err)}
	case errors.As(err, &problems), errors.As(err, &removal):
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
		Wait:  waitForNextPoll,
		Now:   time.Now,
		NewID: uuid.NewString,
	}
}

func (k configurationClient) configuration(ctx context.Context) (publisher.ConfigurationResponse, error) {
	var a publisher.ConfigurationResponse
	err := k.callContext(ctx, http.MethodGet, publisher.PathConfiguration, nil, &a)
	if err != nil && isPermanent(err) {
		err = fmt.Errorf("%w: %w", publisher.ErrRefused, err)
	}
	return a, err
}

// isPermanent reports whether retrying a call would give the same error.
func isPermanent(err error) bool {
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
	if err != nil && certainlyNotApplied(err) {
		return fmt.Errorf("%w: %w", publisher.ErrNotAppended, err)
	}
	return err
}

func (k configurationClient) withdraw(ctx context.Context, id string) error {
	return k.callContext(ctx, http.MethodDelete, publisher.PathChanges+"/"+url.PathEscape(id), nil, nil)
}

// certainlyNotApplied reports whether a failed call certainly had no effect: it did not
// reach the server, or the server said so.
func certainlyNotApplied(err error) bool {
	var q *refuser.ProblemError
	if errors.As(err, &q) {
		return q.Outcome == refuser.OutcomeNotRun
	}
	return connectFailed(err)
}

// waitForNextPoll waits for publishPollInterval, or until ctx ends and returns its error.
func waitForNextPoll(ctx context.Context) error { return sleeper.Sleep(ctx, publishPollInterval) }
