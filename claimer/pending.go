package claimer

import (
	"fmt"
)

// pending is a claim whose request waits for it.
type pending struct {
	claim  Claim
	tried  bool        // it may be in the log
	result chan Result // capacity 1
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

// forget drops a claim that nobody waits for.
func (c *Claimer) forget(p *pending) {
	delete(c.pending, p.claim.ID)
	if c.keys[p.claim.Key] == p {
		delete(c.keys, p.claim.Key)
	}
}
