package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// Relayer is access to the store, directly or through other entry VMs. Its fields
// are set before use; it is safe for concurrent use.
type Relayer struct {
	Direct  accessor.Access
	Peer    func(address string) accessor.Access
	Peers   func() []string   // addresses of other entry VMs
	Changed func(direct bool) // told when the direct way is lost or regained
	Now     func() time.Time

	mu       sync.Mutex
	route    Route
	answered map[string]time.Time // by way, when a call was answered last
}

// Access returns the relayer as access to the store.
func (r *Relayer) Access() accessor.Access {
	return accessor.Access{
		Append: func(ctx context.Context, a accessor.Append) (int64, error) {
			var offset int64
			err := r.try(func(x accessor.Access) (err error) {
				offset, err = x.Append(ctx, a)
				return err
			})
			return offset, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) ([]accessor.Record, int64, error) {
			var records []accessor.Record
			var end int64
			err := r.try(func(x accessor.Access) (err error) {
				records, end, err = x.Read(ctx, topic, from, wait)
				return err
			})
			return records, end, err
		},
		Newest: func(ctx context.Context, topic string) ([]accessor.Record, int64, error) {
			var records []accessor.Record
			var end int64
			err := r.try(func(x accessor.Access) (err error) {
				records, end, err = x.Newest(ctx, topic)
				return err
			})
			return records, end, err
		},
	}
}

var errNoWay = fmt.Errorf("%w: it answers neither this VM nor others", accessor.ErrNotDone)

// try tries one way after the other until the store has answered. Of several
// failures it returns the one that leaves most open.
func (r *Relayer) try(do func(accessor.Access) error) error {
	r.mu.Lock()
	ways := r.route.Order(r.Now(), r.Peers())
	r.mu.Unlock()
	if len(ways) == 0 {
		return errNoWay
	}
	var worst error
	for i := 0; i < len(ways); i++ {
		w := ways[i]
		x := r.Direct
		if w != Direct {
			x = r.Peer(w)
		}
		sent := r.Now()
		err := do(x)
		if errors.Is(err, context.Canceled) {
			return err // the caller has left; it says nothing of the way
		}
		if accessor.Answered(err) {
			r.note(w, true)
			return err
		}
		if r.answeredSince(w, sent) {
			return err // the way works: this answer was lost
		}
		if errors.Is(err, errUnreached) {
			r.missed(w)
		} else {
			r.note(w, false)
		}
		worst = worse(worst, err)
		if i == len(ways)-1 && errors.Is(worst, accessor.ErrNotDone) && !slices.Contains(ways, Direct) && r.DirectWorks() {
			ways = append(ways, Direct) // it was regained meanwhile
		}
	}
	return worst
}

// missed notes that a peer was not reached.
func (r *Relayer) missed(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.Miss(r.Now(), peer)
}

// answeredSince reports whether another call on a way was answered after a time.
func (r *Relayer) answeredSince(way string, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered[way].After(sent)
}

func (r *Relayer) note(way string, worked bool) {
	r.mu.Lock()
	if worked {
		if r.answered == nil {
			r.answered = map[string]time.Time{}
		}
		r.answered[way] = r.Now()
	}
	before := r.route.Suspect()
	r.route.Note(r.Now(), way, worked)
	after := r.route.Suspect()
	r.mu.Unlock()
	if before != after {
		r.Changed(!after)
	}
}

// Probe tries the direct way with a small read of a topic until the context ends,
// while it is suspect. Calls that matter do not wait for it meanwhile.
func (r *Relayer) Probe(ctx context.Context, topic string) {
	for sleeper.Sleep(ctx, probePause) == nil {
		r.mu.Lock()
		due := r.route.Probe(r.Now())
		r.mu.Unlock()
		if !due {
			continue
		}
		_, _, err := r.Direct.Read(ctx, topic, 0, 0)
		if ctx.Err() == nil {
			r.note(Direct, accessor.Answered(err))
		}
	}
}

// DirectWorks reports whether the direct way worked last.
func (r *Relayer) DirectWorks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.route.Suspect()
}
