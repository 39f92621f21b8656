package claimer

import (
	"context"
	"errors"
	"fmt"
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

// pending is a claim whose request waits for it.
type pending struct {
	claim  Claim
	tried  bool        // it may be in the log
	result chan Result // capacity 1
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

// enqueue puts a claim into the queue unless it is plain that it won't succeed.
func (c *Claimer) enqueue(k Key, request string) (*pending, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.table.Holder(k.Hash); ok {
		c.counts.Held++
		return nil, fmt.Errorf("%w by request %s at VM %s", ErrHeld, h.Request, h.VM)
	}
	if p, ok := c.keys[k.Hash]; ok {
		c.counts.Held++
		return nil, fmt.Errorf("%w by request %s at this VM", ErrHeld, p.claim.Request)
	}
	if !c.ready || !c.table.Judges(k.Minted) {
		c.counts.Unjudged++
		return nil, ErrUnjudged
	}
	if len(c.queue) >= c.Waiting {
		c.counts.Unavailable++
		return nil, fmt.Errorf("%w: %d records wait for the log", ErrUnavailable, len(c.queue))
	}
	p := &pending{
		claim:  Claim{ID: c.NewID(), Key: k.Hash, Minted: k.Minted, VM: c.VM, Request: request},
		result: make(chan Result, 1),
	}
	c.pending[p.claim.ID] = p
	c.keys[k.Hash] = p
	c.push(p.claim)
	return p, nil
}

// finish turns the table's result into the caller's.
func (c *Claimer) finish(p *pending, r Result) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r {
	case ResultGranted:
		c.counts.Granted++
		return nil
	case ResultHeld:
		c.counts.Held++
		return ErrHeld
	default:
		c.counts.Unjudged++
		c.release(p.claim)
		return fmt.Errorf("%w: claim is %s", ErrUnjudged, r)
	}
}

// abandon gives up a claim whose request waits no longer.
func (c *Claimer) abandon(p *pending, cause error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(p)
	if err := c.lateResult(p); err != nil {
		return err
	}
	c.counts.Unavailable++
	if p.tried {
		c.release(p.claim)
	}
	return fmt.Errorf("%w: claim was not read back from the log: %w", ErrUnavailable, cause)
}

// lateResult returns the error of a claim that was decided when its request had
// just stopped waiting. A granted one is given up all the same.
func (c *Claimer) lateResult(p *pending) error {
	select {
	case r := <-p.result:
		switch r {
		case ResultHeld:
			c.counts.Held++
			return ErrHeld
		case ResultVoid, ResultUnjudged:
			c.counts.Unjudged++
			c.release(p.claim)
			return ErrUnjudged
		default:
			return nil
		}
	default:
		return nil
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

// forget drops a claim that nobody waits for.
func (c *Claimer) forget(p *pending) {
	delete(c.pending, p.claim.ID)
	if c.keys[p.claim.Key] == p {
		delete(c.keys, p.claim.Key)
	}
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
