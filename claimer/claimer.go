package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

// The reasons for which a key is not claimed.
var (
	// ErrHeld says that the key was claimed before. Whether that request ran is
	// not known here.
	ErrHeld = errors.New("idempotency key is already claimed")
	// ErrUnavailable says that no claim could be made in time. The request must
	// not be sent; it was not run. No earlier claim of the key had been read here.
	ErrUnavailable = errors.New("no claim can be made now")
	// ErrUnjudged says that an earlier claim of the key may stand among records
	// that this VM has not seen. The request must not be sent. It was not run, but
	// an earlier one with the key may have been, so the outcome is unknown.
	ErrUnjudged = errors.New("earlier claims of the idempotency key are not known")
	// ErrBadKey says that the key has a wrong form or is out of its time.
	ErrBadKey = errors.New("idempotency key is not accepted")
)

// The defaults of a Claimer.
const (
	DefaultWindow     = 15 * time.Minute
	DefaultSkew       = 5 * time.Second
	DefaultBatch      = 500
	DefaultWaiting    = 20_000
	DefaultAppendTime = 2 * time.Second
	DefaultRetry      = 250 * time.Millisecond
	DefaultRate       = 25 // appends a second; eight VMs take 200 of the several hundred that the log allows
	defaultBurst      = 5
)

// lateness is the time beyond the window in which a claim may still be appended.
const lateness = time.Minute

// Claimer makes the claims of one VM. Fields are set before the first call.
type Claimer struct {
	VM         string
	Append     func(ctx context.Context, records []Record) error // adjacent, in order; an error leaves open whether it was done
	Now        func() time.Time
	NewID      func() string // a random UUID when nil
	Window     time.Duration // age at which keys are refused
	Skew       time.Duration // largest difference between any two clocks
	Batch      int           // most records in one append
	Waiting    int           // most records that wait to be appended
	AppendTime time.Duration // limit on one append
	Retry      time.Duration // time from a failed append to the next
	Budget     *rate.Limiter // of appends

	once    sync.Once
	wake    chan struct{}
	mu      sync.Mutex
	table   *Table
	pending map[string]*pending // by id of the claim
	keys    map[string]*pending // by hash of the key
	queue   []Record
	ready   bool      // the stream was read to its end once
	marked  time.Time // when the last mark was put into the queue, or mark looked first
	lost    bool      // records were lost and no later one was read, when mark looked last
	counts  Counts
}

// Counts is what became of the claims of one VM since it started.
type Counts struct {
	Granted     int64 `json:"granted"`
	Held        int64 `json:"held"`
	Unavailable int64 `json:"unavailable"`
	Unjudged    int64 `json:"unjudged"`
	Released    int64 `json:"released"`
	Appends     int64 `json:"appends"`
	Failed      int64 `json:"failed-appends"`
}

func (c *Claimer) init() {
	c.once.Do(func() {
		setDefault(&c.Window, DefaultWindow)
		setDefault(&c.Skew, DefaultSkew)
		setDefault(&c.Batch, DefaultBatch)
		setDefault(&c.Waiting, DefaultWaiting)
		setDefault(&c.AppendTime, DefaultAppendTime)
		setDefault(&c.Retry, DefaultRetry)
		if c.NewID == nil {
			c.NewID = uuid.NewString
		}
		if c.Budget == nil {
			c.Budget = rate.NewLimiter(DefaultRate, defaultBurst)
		}
		c.wake = make(chan struct{}, 1)
		c.table = NewTable(c.Window+c.Skew+lateness, c.Skew)
		c.pending = map[string]*pending{}
		c.keys = map[string]*pending{}
	})
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Claim returns nil when this VM holds the key for request and may send it,
// once. Otherwise the error is ErrHeld, ErrUnavailable, ErrUnjudged or ErrBadKey,
// and the request must not be sent. It waits for the log as long as ctx allows; a claim
// that is given up is released, should it have reached the log.
func (c *Claimer) Claim(ctx context.Context, now time.Time, key, request string) error {
	c.init()
	k, err := ParseKey(key)
	if err != nil {
		return err
	}
	if err := k.checkAge(now, c.Window, c.Skew); err != nil {
		return err
	}
	p, err := c.enqueue(k, request)
	if err != nil {
		return err
	}
	select {
	case r := <-p.result:
		return c.finish(p, r)
	case <-ctx.Done():
		return c.abandon(p, ctx.Err())
	}
}

// Release gives back the key of a request that this VM claimed and did not send,
// and never will.
func (c *Claimer) Release(key, request string) {
	c.init()
	k, err := ParseKey(key)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.table.Holder(k.Hash)
	if ok && h.VM == c.VM && h.Request == request {
		c.release(h)
	}
}

// release appends a release of a claim.
func (c *Claimer) release(m Claim) {
	c.counts.Released++
	c.push(Release{ID: m.ID, Key: m.Key, Minted: m.Minted})
}

// Counts returns what became of the claims so far.
func (c *Claimer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Held returns the number of keys that are held by any VM.
func (c *Claimer) Held() int {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
