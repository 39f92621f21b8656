package claimer

import (
	"fmt"
)

// pendingClaim is a claim that a request waits for.
type pendingClaim struct {
	claim       Claim
	appendTried bool        // the claim may be in the log
	result      chan Result // capacity 1
}

// enqueueClaim queues a claim unless it certainly cannot succeed.
func (c *Claimer) enqueueClaim(k Key, request string) (*pendingClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.table.Holder(k.Hash); ok {
		c.counts.Held++
		return nil, fmt.Errorf("%w by request %s at VM %s", ErrHeld, h.Request, h.VM)
	}
	if p, ok := c.pendingByKey[k.Hash]; ok {
		c.counts.Held++
		return nil, fmt.Errorf("%w by request %s at this VM", ErrHeld, p.claim.Request)
	}
	if !c.caughtUp || !c.table.CompleteFor(k.Minted) {
		c.counts.Unjudged++
		return nil, ErrHistoryIncomplete
	}
	if len(c.queue) >= c.QueueSize {
		c.counts.Unavailable++
		return nil, fmt.Errorf("%w: %d records wait to be appended", ErrUnavailable, len(c.queue))
	}
	p := &pendingClaim{
		claim:  Claim{ID: c.NewID(), Key: k.Hash, Minted: k.Minted, VM: c.VM, Request: request},
		result: make(chan Result, 1),
	}
	c.pendingByID[p.claim.ID] = p
	c.pendingByKey[k.Hash] = p
	c.enqueue(p.claim)
	return p, nil
}

// finish counts the table's result and returns the error for the caller.
func (c *Claimer) finish(p *pendingClaim, r Result) error {
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
		return fmt.Errorf("%w: claim is %s", ErrHistoryIncomplete, r)
	}
}

// abandon gives up a claim whose request no longer waits.
func (c *Claimer) abandon(p *pendingClaim, cause error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removePending(p)
	if err := c.lateResult(p); err != nil {
		return err
	}
	c.counts.Unavailable++
	if p.appendTried {
		c.release(p.claim)
	}
	return fmt.Errorf("%w: claim was not read back from the log: %w", ErrUnavailable, cause)
}

// lateResult returns the error of a claim that was decided just after its request
// stopped waiting. A granted claim is abandoned nevertheless.
func (c *Claimer) lateResult(p *pendingClaim) error {
	select {
	case r := <-p.result:
		switch r {
		case ResultHeld:
			c.counts.Held++
			return ErrHeld
		case ResultVoid, ResultHistoryIncomplete:
			c.counts.Unjudged++
			c.release(p.claim)
			return ErrHistoryIncomplete
		default:
			return nil
		}
	default:
		return nil
	}
}

// removePending removes a claim from the pending ones.
func (c *Claimer) removePending(p *pendingClaim) {
	delete(c.pendingByID, p.claim.ID)
	if c.pendingByKey[p.claim.Key] == p {
		delete(c.pendingByKey, p.claim.Key)
	}
}
