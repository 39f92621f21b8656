package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
)

// Client holds the flags of every command that calls an entry VM.
type Client struct {
	Server  string        `default:"127.0.0.1:8080" env:"LACEWINGDOOR_SERVER" help:"IP:PORT of an entry VM."`
	KeyFile string        `env:"LACEWINGDOOR_KEY_FILE" help:"File with the bearer key of the organisation." required:"" type:"path"`
	Output  string        `default:"text" enum:"text,json" help:"Form of the output: text or json."`
	Timeout time.Duration `default:"30s" help:"Longest time that the command takes."`
}

// call sends a request and decodes the answer. The error says whether it may
// have taken effect.
func (c *Client) call(method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return c.callContext(ctx, method, path, body, answer)
}

// callContext is call within the deadline of ctx.
func (c *Client) callContext(ctx context.Context, method, path string, body, answer any) error {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read key: %w", err)}
	}
	q := resty.New().R().SetContext(ctx).SetAuthToken(strings.TrimSpace(string(key)))
	if body != nil {
		q.SetBody(body)
	}
	a, err := q.Execute(method, "http://"+c.Server+path)
	if err != nil {
		return unanswered(method, c.Server, err)
	}
	if a.StatusCode() >= http.StatusBadRequest {
		return refused(c.Server, a)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body(), answer); err != nil {
		return fmt.Errorf("decode answer of %s: %w", c.Server, err)
	}
	return nil
}

// unanswered returns the error of a call without an answer. A call that only
// reads, or that did not reach the server, has changed nothing.
func unanswered(method, server string, err error) error {
	err = fmt.Errorf("call entry VM %s: %w", server, err)
	var o *net.OpError
	dial := errors.As(err, &o) && o.Op == "dial"
	if method == http.MethodGet || dial || errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return &ExitError{ExitUnknown, fmt.Errorf("%w; it may have taken effect: ask with the same id", err)}
}

// refused returns the error of an answer that is a refusal.
func refused(server string, a *resty.Response) error {
	var p refuser.ProblemError
	if err := json.Unmarshal(a.Body(), &p); err != nil || p.Code == "" {
		return fmt.Errorf("entry VM %s answered %s", server, a.Status())
	}
	err := fmt.Errorf("entry VM %s: %w (outcome %s)", server, &p, p.Outcome)
	if p.Outcome == refuser.OutcomeUnknown {
		return &ExitError{ExitUnknown, err}
	}
	return err
}

// print writes v as JSON, or lets text write it.
func (c *Client) print(w io.Writer, v any, text func(io.Writer)) error {
	if c.Output != "json" {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
