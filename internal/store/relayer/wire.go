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

// The procedures that entry VMs serve to each other.
const (
	procedureAppend = "/store/append"
	procedureRead   = "/store/read"
	procedureNewest = "/store/newest"
)

// partitionSuffix marks the procedures for partitions other than 0. A peer of an older version,
// which would use partition 0, does not serve them.
const partitionSuffix = "-partition"

const peerCallMargin = time.Second // added to the wait of a read for the timeout of a call to a peer, which may wait 800 ms for an append

// outcome is the result of a peer's call to the store.
type outcome string

const (
	outcomeDone           outcome = "done"
	outcomeNotDone        outcome = "not-done"
	outcomeOffsetMismatch outcome = "moved"
	outcomeFenced         outcome = "fenced"
	outcomeSequence       outcome = "sequence"
	outcomeTrimmed        outcome = "trimmed"
	outcomeUncertain      outcome = "uncertain"
)

type readRequest struct {
	Topic  string `json:"topic"`
	From   int64  `json:"from"`
	WaitMS int64  `json:"wait-ms"`
}

// newestRequest asks for a page of the newest records.
type newestRequest struct {
	Topic string `json:"topic"`
	After string `json:"after,omitempty"` // key after which the page begins
	Paged bool   `json:"paged,omitempty"` // the caller asks for further pages; those of older versions do not
}

// The memory that the answer to a call takes: the response of the store, the records, and the
// response to the other VM, with buffers that grow by doubling.
const (
	readBytes   = 256 << 10 // of ServedPageKB
	newestBytes = 6 << 20   // of a page of 1 MB, in base64
)

// ServedPageKB is the limit of reads for other VMs, in kilobytes. Each VM waits for records of
// several topics at the same time.
const ServedPageKB = 64

type response struct {
	Outcome  outcome           `json:"outcome"`
	Reason   string            `json:"reason,omitempty"`
	Expected int64             `json:"expected,omitempty"` // sequence number that the store expects
	Offset   int64             `json:"offset,omitempty"`
	End      int64             `json:"end,omitempty"`
	Records  []accessor.Record `json:"records,omitempty"`
	More     bool              `json:"more,omitempty"` // further pages follow
}

func newResponse(err error) response {
	var s *accessor.SequenceError
	switch {
	case err == nil:
		return response{Outcome: outcomeDone}
	case errors.Is(err, accessor.ErrNotDone):
		return response{Outcome: outcomeNotDone, Reason: err.Error()}
	case errors.Is(err, accessor.ErrOffsetMismatch):
		return response{Outcome: outcomeOffsetMismatch, Reason: err.Error()}
	case errors.Is(err, accessor.ErrFenced):
		return response{Outcome: outcomeFenced, Reason: err.Error()}
	case errors.Is(err, accessor.ErrTrimmed):
		return response{Outcome: outcomeTrimmed, Reason: err.Error()}
	case errors.As(err, &s):
		return response{Outcome: outcomeSequence, Expected: s.Expected}
	default:
		return response{Outcome: outcomeUncertain, Reason: err.Error()}
	}
}

var (
	errUncertain   = errors.New("the peer got no response from the store")
	errUnreachable = errors.New("the peer is unreachable")
)

func (a response) err(peer string) error {
	var cause error
	switch a.Outcome {
	case outcomeDone:
		return nil
	case outcomeNotDone:
		cause = accessor.ErrNotDone
	case outcomeOffsetMismatch:
		cause = accessor.ErrOffsetMismatch
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
	return fmt.Errorf("through peer at %s: %w", peer, cause)
}

// codec encodes plain structs as JSON, so that no code generator is needed.
type codec struct{}

func (codec) Name() string                    { return "json" }
func (codec) Marshal(v any) ([]byte, error)   { return json.Marshal(v) }
func (codec) Unmarshal(b []byte, v any) error { return json.Unmarshal(b, v) }

// Handler returns a handler that passes the calls of peers on to the store. It uses the
// direct route only, and rejects calls at once while this route fails.
func (r *Relayer) Handler() http.Handler {
	m := http.NewServeMux()
	served := r.Served
	if served.Append == nil {
		served = r.Direct
	}
	handleUnary(m, procedureAppend, r.charged(0), func(ctx context.Context, q *accessor.Append) response {
		if !r.DirectWorks(q.Topic) {
			return newResponse(accessor.ErrNotDone)
		}
		offset, err := served.Append(ctx, *q)
		a := newResponse(err)
		a.Offset = offset
		return a
	})
	handleUnary(m, procedureRead, r.charged(readBytes), func(ctx context.Context, q *readRequest) response {
		if !r.DirectWorks(q.Topic) {
			return newResponse(accessor.ErrNotDone)
		}
		records, end, err := served.Read(ctx, q.Topic, q.From, time.Duration(q.WaitMS)*time.Millisecond)
		a := newResponse(err)
		a.Records, a.End = records, end
		return a
	})
	handleUnary(m, procedureNewest, r.charged(newestBytes), func(ctx context.Context, q *newestRequest) response {
		if !r.DirectWorks(q.Topic) {
			return newResponse(accessor.ErrNotDone)
		}
		p, err := served.NewestPage(ctx, q.Topic, q.After)
		if err == nil && p.More && !q.Paged {
			return newResponse(errUnpaged)
		}
		a := newResponse(err)
		a.Records, a.End, a.More = p.Records, p.End, p.More
		return a
	})
	return m
}

// errUnpaged answers VMs of an older version, which take the first page for all records.
var errUnpaged = fmt.Errorf("%w: the newest records do not fit into one page", accessor.ErrNotDone)

// charged returns a function that wraps a handler: it charges memory to the connection of the
// call until the response is written.
func (r *Relayer) charged(bytes int64) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		if bytes == 0 || r.Charge == nil {
			return next
		}
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			release, err := r.Charge(q.Context(), bytes)
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			defer release()
			next.ServeHTTP(w, q)
		})
	}
}

func handleUnary[Q any](m *http.ServeMux, procedure string, wrap func(http.Handler) http.Handler, do func(context.Context, *Q) response) {
	for _, p := range []string{procedure, procedure + partitionSuffix} {
		m.Handle(p, wrap(connect.NewUnaryHandler(p, func(ctx context.Context, q *connect.Request[Q]) (*connect.Response[response], error) {
			a := do(ctx, q.Msg)
			return connect.NewResponse(&a), nil
		}, connect.WithCodec(codec{}))))
	}
}

// PeerClient returns a client that calls the store through the peer at an address.
func PeerClient(h connect.HTTPClient, address string) accessor.Client {
	base := "http://" + address
	appends := newPeerCall[accessor.Append](h, base, procedureAppend)
	reads := newPeerCall[readRequest](h, base, procedureRead)
	newest := newPeerCall[newestRequest](h, base, procedureNewest)
	return accessor.Client{
		Append: func(ctx context.Context, q accessor.Append) (int64, error) {
			a, err := callPeer(ctx, appends.to(q.Topic), q, 0, address)
			return a.Offset, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			a, err := callPeer(ctx, reads.to(topic), readRequest{topic, from, wait.Milliseconds()}, wait, address)
			return a.Records, a.End, err
		},
		Newest: func(ctx context.Context, topic string) ([]accessor.Record, int64, error) {
			return accessor.ReadPages(ctx, topic, func(ctx context.Context, topic, after string) (accessor.Page, error) {
				a, err := callPeer(ctx, newest.to(topic), newestRequest{Topic: topic, After: after, Paged: true}, 0, address)
				return accessor.Page{Records: a.Records, End: a.End, More: a.More}, err
			})
		},
	}
}

// peerCall is a procedure of a peer, for partition 0 and for the others.
type peerCall[Q any] struct{ zero, others *connect.Client[Q, response] }

func newPeerCall[Q any](h connect.HTTPClient, base, procedure string) peerCall[Q] {
	return peerCall[Q]{
		zero:   connect.NewClient[Q, response](h, base+procedure, connect.WithCodec(codec{})),
		others: connect.NewClient[Q, response](h, base+procedure+partitionSuffix, connect.WithCodec(codec{})),
	}
}

// to returns the client for calls to a topic or partition.
func (c peerCall[Q]) to(name string) *connect.Client[Q, response] {
	if _, part := accessor.SplitPartition(name); part != 0 {
		return c.others
	}
	return c.zero
}

func callPeer[Q any](ctx context.Context, c *connect.Client[Q, response], q Q, wait time.Duration, address string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerCallMargin)
	defer cancel()
	r, err := c.CallUnary(ctx, connect.NewRequest(&q))
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return response{}, fmt.Errorf("call peer at %s: %w: %w: %w", address, accessor.ErrNotDone, errUnreachable, err)
	}
	if connect.CodeOf(err) == connect.CodeUnimplemented { // a peer of an older version
		return response{}, fmt.Errorf("call peer at %s: %w: %w", address, accessor.ErrNotDone, err)
	}
	if err != nil {
		return response{}, fmt.Errorf("call peer at %s: %w", address, err)
	}
	return *r.Msg, r.Msg.err(address)
}
