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

// Client holds the flags common to all commands that call an entry VM.
type Client struct {
	Server  []string      `default:"127.0.0.1:8080" env:"LACEWINGDOOR_SERVER" help:"IP:PORT of an entry VM; may be repeated: the next is called when one cannot be reached."`
	KeyFile string        `env:"LACEWINGDOOR_KEY_FILE" help:"File with the bearer key of the organisation." required:"" type:"path"`
	Output  string        `default:"text" enum:"text,json" help:"Form of the output: text or json."`
	Timeout time.Duration `default:"30s" help:"Longest time that the command takes."`

	current int // index of the server to call
}

// Time limits for each of several servers, so that an unresponsive one leaves time for the next.
const (
	dialTimeout = 2 * time.Second // to connect; round trips to a VM take milliseconds
	readTimeout = 5 * time.Second // for the response to a read-only request
)

// call sends a request and decodes the response. The error says whether the request
// may have taken effect.
func (c *Client) call(method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return c.callContext(ctx, method, path, body, answer)
}

// callContext is call with the deadline of ctx. It tries the next server if one is
// unreachable or does not respond to a read-only request. A change that may have been
// sent is never resent; the next call goes to the next server.
func (c *Client) callContext(ctx context.Context, method, path string, body, answer any) error {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read key: %w", err)}
	}
	q := resty.NewWithClient(newHTTPClient()).R().SetAuthToken(strings.TrimSpace(string(key)))
	if body != nil {
		q.SetBody(body)
	}
	for range c.Server {
		var answered bool
		if answered, err = c.callServer(ctx, q, method, path, answer); answered {
			return err
		}
		c.current = (c.current + 1) % len(c.Server)
		if method != http.MethodGet && !connectFailed(err) || ctx.Err() != nil {
			break
		}
	}
	return err
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
}

// callServer calls the current server and reports whether it responded.
func (c *Client) callServer(ctx context.Context, q *resty.Request, method, path string, answer any) (bool, error) {
	server := c.Server[c.current]
	if method == http.MethodGet && len(c.Server) > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readTimeout)
		defer cancel()
	}
	a, err := q.SetContext(ctx).Execute(method, "http://"+server+path)
	if err != nil {
		return false, noAnswerError(method, server, err)
	}
	return true, decodeAnswer(server, a, answer)
}

func decodeAnswer(server string, a *resty.Response, answer any) error {
	if a.StatusCode() >= http.StatusBadRequest {
		return refusalError(server, a)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body(), answer); err != nil {
		return fmt.Errorf("decode response of entry VM %s: %w", server, err)
	}
	return nil
}

// noAnswerError returns the error of a call that got no response. A read-only call, or
// one that did not reach the server, has had no effect.
func noAnswerError(method, server string, err error) error {
	err = fmt.Errorf("call entry VM %s: %w", server, err)
	if method == http.MethodGet || connectFailed(err) {
		return err
	}
	return &ExitError{ExitUnknown, fmt.Errorf("%w; it may have taken effect; repeat the call with the same id to find out", err)}
}

// connectFailed reports whether a call certainly did not reach its server.
func connectFailed(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

// refusalError returns the error for a response with an error status.
func refusalError(server string, a *resty.Response) error {
	var p refuser.ProblemError
	if err := json.Unmarshal(a.Body(), &p); err != nil || p.Code == "" {
		return fmt.Errorf("entry VM %s responded with status %s", server, a.Status())
	}
	err := fmt.Errorf("entry VM %s: %w (outcome %s)", server, &p, p.Outcome)
	if p.Outcome == refuser.OutcomeUnknown {
		return &ExitError{ExitUnknown, err}
	}
	return err
}

// print writes v as JSON, or calls text for text output.
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
