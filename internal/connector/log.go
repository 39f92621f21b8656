package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// Log is a client of the platform's append-only log service.
type Log struct {
	Address string        // HOST:PORT
	Client  *http.Client  // nil means a shared client
	Timeout time.Duration // of one exchange, in addition to the wait of a read; 0 means 3 s
}

// Append atomically appends the records to the stream, at consecutive offsets, and
// returns the offset of the first. After an error for which Uncertain is true they may
// have been appended nevertheless.
func (l Log) Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error) {
	var a AppendResponse
	e := exchange{
		client:   l.Client,
		method:   http.MethodPost,
		url:      l.url(stream),
		body:     AppendRequest{Records: records},
		response: &a,
		timeout:  timeoutOrDefault(l.Timeout),
	}
	if err := e.run(ctx); err != nil {
		return 0, fmt.Errorf("append to stream %s at %s: %w", stream, l.Address, err)
	}
	return a.Offset, nil
}

// Read returns up to limit records, starting at offset from. If there are none, it waits
// up to the given time for one. If from is below the first retained offset, the read
// starts at that offset, which the response contains.
func (l Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (ReadResponse, error) {
	var a ReadResponse
	e := exchange{
		client: l.Client,
		method: http.MethodGet,
		url:    l.url(stream),
		query: map[string]string{
			"from":    strconv.FormatInt(from, 10),
			"limit":   strconv.Itoa(limit),
			"wait-ms": strconv.FormatInt(wait.Milliseconds(), 10),
		},
		response: &a,
		timeout:  timeoutOrDefault(l.Timeout) + wait,
	}
	if err := e.run(ctx); err != nil {
		return ReadResponse{}, fmt.Errorf("read stream %s from %d at %s: %w", stream, from, l.Address, err)
	}
	return a, nil
}

// PageReader returns the function with which a follower.Follower reads the stream.
func (l Log) PageReader(stream string) func(context.Context, int64, int, time.Duration) (follower.Page, error) {
	return func(ctx context.Context, from int64, limit int, wait time.Duration) (follower.Page, error) {
		a, err := l.Read(ctx, stream, from, limit, wait)
		if err != nil {
			return follower.Page{}, err
		}
		p := follower.Page{First: a.First, Next: a.Next, Records: make([]follower.Record, 0, len(a.Records))}
		for _, r := range a.Records {
			p.Records = append(p.Records, follower.Record{
				Offset:   r.Offset,
				Appended: time.UnixMilli(r.AppendedMS),
				Data:     r.Data,
			})
		}
		return p, nil
	}
}

// AppendFunc returns the function with which a follower.Appender appends to the stream.
func (l Log) AppendFunc(stream string) func(context.Context, []json.RawMessage) (int64, error) {
	return func(ctx context.Context, records []json.RawMessage) (int64, error) {
		return l.Append(ctx, stream, records)
	}
}

func (l Log) url(stream string) string {
	return "http://" + l.Address + "/streams/" + url.PathEscape(stream) + "/records"
}

func timeoutOrDefault(d time.Duration) time.Duration {
	if d == 0 {
		return defaultTimeout
	}
	return d
}
