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
	Server  []string      `default:"127.0.0.1:8080" env:"LACEWINGDOOR_SERVER" help:"IP:PORT of an entry VM; may be repeated: the next is called when one cannot be reached."`
	KeyFile string        `env:"LACEWINGDOOR_KEY_FILE" help:"File with the bearer key of the organisation." required:"" type:"path"`
	Output  string        `default:"text" enum:"text,json" help:"Form of the output: text or json."`
	Timeout time.Duration `default:"30s" help:"Longest time that the command takes."`

	current int // index of the server that is called
}

// The limits on one of several servers, so that a silent one leaves time for the next.
const (
	serverDial = 2 * time.Second // to connect; a VM is milliseconds away
	serverRead = 5 * time.Second // to answer a call that changes nothing
)

// call sends a request and decodes the answer. The error says whether it may
// have taken effect.
func (c *Client) call(method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return c.callContext(ctx, method, path, body, answer)
}

// callContext is call within the deadline of ctx. It goes on to the next server when
// one cannot be reached, or does not answer a call that changes nothing. A change that
// may have been sent is never sent again; the next call goes to the next server.
func (c *Client) callContext(ctx context.Context, method, path string, body, answer any) error {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read key: %w", err)}
	}
	q := resty.NewWithClient(httpClient()).R().SetAuthToken(strings.TrimSpace(string(key)))
	if body != nil {
		q.SetBody(body)
	}
	for range c.Server {
		var answered bool
		if answered, err = c.callOne(ctx, q, method, path, answer); answered {
			return err
		}
		c.current = (c.current + 1) % len(c.Server)
		if method != http.MethodGet && !notReached(err) || ctx.Err() != nil {
			break
		}
	}
	return err
}

func httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: serverDial}).DialContext}}
}

// callOne calls the present server, and reports whether it answered.
func (c *Client) callOne(ctx context.Context, q *resty.Request, method, path string, answer any) (bool, error) {
	server := c.Server[c.current]
	if method == http.MethodGet && len(c.Server) > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, serverRead)
		defer cancel()
	}
	a, err := q.SetContext(ctx).Execute(method, "http://"+server+path)
	if err != nil {
		return false, unanswered(method, server, err)
	}
	return true, decodeAnswer(server, a, answer)
}

func decodeAnswer(server string, a *resty.Response, answer any) error {
	if a.StatusCode() >= http.StatusBadRequest {
		return refused(server, a)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body(), answer); err != nil {
		return fmt.Errorf("decode answer of %s: %w", server, err)
	}
	return nil
}

// unanswered returns the error of a call without an answer. A call that only
// reads, or that did not reach the server, has changed nothing.
func unanswered(method, server string, err error) error {
	err = fmt.Errorf("call entry VM %s: %w", server, err)
	if method == http.MethodGet || notReached(err) {
		return err
	}
	return &ExitError{ExitUnknown, fmt.Errorf("%w; it may have taken effect: ask with the same id", err)}
}

// notReached reports whether a call surely did not reach its server.
func notReached(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
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
