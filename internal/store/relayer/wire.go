package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// The procedures between entry VMs.
const (
	procedureAppend = "/store/append"
	procedureRead   = "/store/read"
	procedureNewest = "/store/newest"
)

const callSlack = time.Second // of a call to another VM, over the wait of a read; it may wait 800 ms for an append

// outcome says how the other VM's call to the store went.
type outcome string

const (
	outcomeDone      outcome = "done"
	outcomeNotDone   outcome = "not-done"
	outcomeMoved     outcome = "moved"
	outcomeFenced    outcome = "fenced"
	outcomeSequence  outcome = "sequence"
	outcomeTrimmed   outcome = "trimmed"
	outcomeUncertain outcome = "uncertain"
)

type readRequest struct {
	Topic  string `json:"topic"`
	From   int64  `json:"from"`
	WaitMS int64  `json:"wait-ms"`
}

type newestRequest struct {
	Topic string `json:"topic"`
}

type answer struct {
	Outcome  outcome           `json:"outcome"`
	Reason   string            `json:"reason,omitempty"`
	Expected int64             `json:"expected,omitempty"` // sequence number
	Offset   int64             `json:"offset,omitempty"`
	End      int64             `json:"end,omitempty"`
	Records  []accessor.Record `json:"records,omitempty"`
}

// worse returns the error that leaves more open: a call that was not done anywhere
// is certain, any other failure is not.
func worse(a, b error) error {
	if a == nil || errors.Is(a, accessor.ErrNotDone) {
		return b
	}
	return a
}

func encode(err error) answer {
	var s *accessor.SequenceError
	switch {
	case err == nil:
		return answer{Outcome: outcomeDone}
	case errors.Is(err, accessor.ErrNotDone):
		return answer{Outcome: outcomeNotDone, Reason: err.Error()}
	case errors.Is(err, accessor.ErrMoved):
		return answer{Outcome: outcomeMoved, Reason: err.Error()}
	case errors.Is(err, accessor.ErrFenced):
		return answer{Outcome: outcomeFenced, Reason: err.Error()}
	case errors.Is(err, accessor.ErrTrimmed):
		return answer{Outcome: outcomeTrimmed, Reason: err.Error()}
	case errors.As(err, &s):
		return answer{Outcome: outcomeSequence, Expected: s.Expected}
	default:
		return answer{Outcome: outcomeUncertain, Reason: err.Error()}
	}
}

var (
	errUncertain = errors.New("another VM got no answer from the store")
	errUnreached = errors.New("the VM is not reached")
)

func (a answer) err(peer string) error {
	var cause error
	switch a.Outcome {
	case outcomeDone:
		return nil
	case outcomeNotDone:
		cause = accessor.ErrNotDone
	case outcomeMoved:
		cause = accessor.ErrMoved
	case outcomeFenced:
		cause = accessor.ErrFenced
	case outcomeTrimmed:
		cause = accessor.ErrTrimmed
	case outcomeSequence:
		cause = &accessor.SequenceError{Expected: a.Expected}
	case outcomeUncertain:
		cause = errUncertain
	default:
		cause = errUncertain
	}
	return fmt.Errorf("through VM at %s: %w", peer, cause)
}

// codec sends plain structs as JSON, so that no generator is needed.
type codec struct{}

func (codec) Name() string                    { return "json" }
func (codec) Marshal(v any) ([]byte, error)   { return json.Marshal(v) }
func (codec) Unmarshal(b []byte, v any) error { return json.Unmarshal(b, v) }

// Handler serves the store to other VMs. It passes calls on directly only, and
// refuses at once while the direct way does not work.
func (r *Relayer) Handler() http.Handler {
	m := http.NewServeMux()
	handle(m, procedureAppend, func(ctx context.Context, q *accessor.Append) answer {
		if !r.DirectWorks() {
			return encode(accessor.ErrNotDone)
		}
		offset, err := r.Direct.Append(ctx, *q)
		a := encode(err)
		a.Offset = offset
		return a
	})
	handle(m, procedureRead, func(ctx context.Context, q *readRequest) answer {
		if !r.DirectWorks() {
			return encode(accessor.ErrNotDone)
		}
		records, end, err := r.Direct.Read(ctx, q.Topic, q.From, time.Duration(q.WaitMS)*time.Millisecond)
		a := encode(err)
		a.Records, a.End = records, end
		return a
	})
	handle(m, procedureNewest, func(ctx context.Context, q *newestRequest) answer {
		if !r.DirectWorks() {
			return encode(accessor.ErrNotDone)
		}
		records, end, err := r.Direct.Newest(ctx, q.Topic)
		a := encode(err)
		a.Records, a.End = records, end
		return a
	})
	return m
}

func handle[Q any](m *http.ServeMux, procedure string, do func(context.Context, *Q) answer) {
	m.Handle(procedure, connect.NewUnaryHandler(procedure, func(ctx context.Context, q *connect.Request[Q]) (*connect.Response[answer], error) {
		a := do(ctx, q.Msg)
		return connect.NewResponse(&a), nil
	}, connect.WithCodec(codec{})))
}

// PeerAccess returns access to the store through the VM at an address.
func PeerAccess(h connect.HTTPClient, address string) accessor.Access {
	base := "http://" + address
	appends := connect.NewClient[accessor.Append, answer](h, base+procedureAppend, connect.WithCodec(codec{}))
	reads := connect.NewClient[readRequest, answer](h, base+procedureRead, connect.WithCodec(codec{}))
	newest := connect.NewClient[newestRequest, answer](h, base+procedureNewest, connect.WithCodec(codec{}))
	return accessor.Access{
		Append: func(ctx context.Context, q accessor.Append) (int64, error) {
			a, err := ask(ctx, appends, q, 0, address)
			return a.Offset, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			a, err := ask(ctx, reads, readRequest{topic, from, wait.Milliseconds()}, wait, address)
			return a.Records, a.End, err
		},
		Newest: func(ctx context.Context, topic string) ([]accessor.Record, int64, error) {
			a, err := ask(ctx, newest, newestRequest{topic}, 0, address)
			return a.Records, a.End, err
		},
	}
}

func ask[Q any](ctx context.Context, c *connect.Client[Q, answer], q Q, wait time.Duration, address string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	r, err := c.CallUnary(ctx, connect.NewRequest(&q))
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return answer{}, fmt.Errorf("ask VM at %s: %w: %w: %w", address, accessor.ErrNotDone, errUnreached, err)
	}
	if err != nil {
		return answer{}, fmt.Errorf("ask VM at %s: %w", address, err)
	}
	return *r.Msg, r.Msg.err(address)
}
