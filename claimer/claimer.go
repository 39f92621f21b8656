package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

// The errors of Claim.
var (
	// ErrHeld means that an earlier request claimed the key. Whether that request
	// ran is unknown.
	ErrHeld = errors.New("idempotency key is already claimed")
	// ErrUnavailable means that the claim could not be confirmed in time. The request
	// must not be sent; it was not run. This VM has read no earlier claim of the key.
	ErrUnavailable = errors.New("no claim can be made now")
	// ErrHistoryIncomplete means that records which this VM has not read may contain
	// an earlier claim of the key. The request must not be sent. It was not run, but
	// an earlier one with the key may have been, so the outcome is unknown.
	ErrHistoryIncomplete = errors.New("earlier claims of the idempotency key are not known")
	// ErrBadKey means that the key is malformed, too old or from the future.
	ErrBadKey = errors.New("idempotency key is not accepted")
)

// The defaults of the fields of Claimer.
const (
	DefaultWindow        = 15 * time.Minute
	DefaultSkew          = 5 * time.Second
	DefaultBatchSize     = 500
	DefaultQueueSize     = 20_000
	DefaultAppendTimeout = 2 * time.Second
	DefaultRetryDelay    = 250 * time.Millisecond
	DefaultAppendRate    = 25 // appends per second; eight VMs use 200 of the several hundred that the log accepts
	defaultAppendBurst   = 5
)

// appendGrace is how long after the window a claim may still be appended.
const appendGrace = time.Minute

// Claimer makes the claims of one VM. Set its fields before the first call.
type Claimer struct {
	VM            string
	Append        func(ctx context.Context, records []Record) error // appends records adjacent and in order; on an error they may be in the log or not
	Now           func() time.Time
	NewID         func() string // a random UUID when nil
	Window        time.Duration // greatest age of a key; older keys are rejected
	Skew          time.Duration // greatest difference between any two clocks
	BatchSize     int           // most records per append
	QueueSize     int           // most records that are not yet appended
	AppendTimeout time.Duration // of one append
	RetryDelay    time.Duration // wait after a failed append
	Budget        *rate.Limiter // limits appends

	once          sync.Once
	wake          chan struct{}
	mu            sync.Mutex
	table         *Table
	pendingByID   map[string]*pendingClaim // by claim id
	pendingByKey  map[string]*pendingClaim // by key hash
	queue         []Record
	caughtUp      bool      // the stream has been read to its end at least once
	lastMark      time.Time // when a mark was last queued; initially when markIfNeeded was first called
	wasIncomplete bool      // records were missed and no later one was read when markIfNeeded was last called
	counts        Counts
}

// Counts holds the results of the claims of one VM since it started.
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
		setDefault(&c.BatchSize, DefaultBatchSize)
		setDefault(&c.QueueSize, DefaultQueueSize)
		setDefault(&c.AppendTimeout, DefaultAppendTimeout)
		setDefault(&c.RetryDelay, DefaultRetryDelay)
		if c.NewID == nil {
			c.NewID = uuid.NewString
		}
		if c.Budget == nil {
			c.Budget = rate.NewLimiter(DefaultAppendRate, defaultAppendBurst)
		}
		c.wake = make(chan struct{}, 1)
		c.table = NewTable(c.Window+c.Skew+appendGrace, c.Skew)
		c.pendingByID = map[string]*pendingClaim{}
		c.pendingByKey = map[string]*pendingClaim{}
	})
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Claim returns nil when this VM holds the key for request and may send it once.
// Otherwise the error is ErrHeld, ErrUnavailable, ErrHistoryIncomplete or ErrBadKey,
// and the request must not be sent. Claim waits for the log until ctx ends; the claim
// is then released in case it reached the log.
func (c *Claimer) Claim(ctx context.Context, now time.Time, key, request string) error {
	c.init()
	k, err := ParseKey(key)
	if err != nil {
		return err
	}
	if err := k.checkAge(now, c.Window, c.Skew); err != nil {
		return err
	}
	p, err := c.enqueueClaim(k, request)
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

// Release releases the key of a request that this VM claimed but did not and will
// not send.
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

// release queues the release of a claim.
func (c *Claimer) release(m Claim) {
	c.counts.Released++
	c.enqueue(Release{ID: m.ID, Key: m.Key, Minted: m.Minted})
}

// Counts returns the results of the claims so far.
func (c *Claimer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Held returns the number of keys held by all VMs.
func (c *Claimer) Held() int {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
