package server

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// reportInterval is the maximum time between reports of an unchanged worker. The
// leader probes a worker that is silent for 4 s.
const reportInterval = 2 * time.Second

// reporter sends the readings of this VM to the leader and, while this VM leads,
// accepts those of others. A full inventory is sent only if the leader lacks it.
type reporter struct {
	s *Server

	mu       sync.Mutex
	lastSent map[string]lastSent         // by worker, the last reading sent to the leader
	received map[string]leaser.Inventory // by worker, the last inventory received as leader
}

// lastSent identifies the last reading of a worker that was sent to the leader.
type lastSent struct {
	leader string
	mark   string
	at     time.Time
}

func newReporter(s *Server) *reporter {
	return &reporter{s: s, lastSent: map[string]lastSent{}, received: map[string]leaser.Inventory{}}
}

// report sends to the leader, in one call, the readings that it needs.
func (r *reporter) report(ctx context.Context, readings []leaser.Reading) {
	leader, address := r.s.view.Load().leader(r.s.Now())
	if leader == r.s.Settings.VM {
		for _, x := range readings {
			r.s.post(eventMessage{reducer.WorkerReported{Inventory: x.Inventory, Age: r.s.Now().Sub(x.At)}})
		}
		return
	}
	if address == "" {
		return // there is no leader at present
	}
	q, sent := r.buildRequest(leader, readings)
	if len(sent) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := r.s.peer(address).Report(c, connect.NewRequest(q))
	if err == nil && !a.Msg.GetLeading() {
		err = fmt.Errorf("%s is not the leader", leader)
	}
	if err != nil {
		r.s.throttled.log("report", leader, fmt.Errorf("report readings of %d workers to leader %s: %w", len(sent), leader, err))
		return
	}
	r.recordSent(sent, a.Msg.GetWanted())
}

// buildRequest returns the report of the readings that the leader needs, and what to
// record once it is sent.
func (r *reporter) buildRequest(leader string, readings []leaser.Reading) (*peerv1.ReportRequest, map[string]lastSent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, sent := &peerv1.ReportRequest{}, map[string]lastSent{}
	for _, x := range readings {
		i := x.Inventory
		last := r.lastSent[i.Worker]
		known := last.leader == leader && last.mark == i.Mark
		if known && x.At.Sub(last.at) < reportInterval {
			continue
		}
		e := &peerv1.Reading{Worker: i.Worker, Mark: i.Mark, AgeMs: r.s.Now().Sub(x.At).Milliseconds()}
		if !known {
			b, err := json.Marshal(i)
			if err != nil {
				r.s.throttled.log("report", i.Worker, fmt.Errorf("encode inventory of worker %s: %w", i.Worker, err))
				continue
			}
			e.Inventory = b
		}
		q.Readings = append(q.Readings, e)
		sent[i.Worker] = lastSent{leader, i.Mark, x.At}
	}
	return q, sent
}

// recordSent records what the leader was sent, except for the workers whose
// inventory it asks for.
func (r *reporter) recordSent(sent map[string]lastSent, wanted []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w, x := range sent {
		r.lastSent[w] = x
	}
	for _, w := range wanted {
		delete(r.lastSent, w)
	}
}

// forget drops the state of workers that this VM no longer renews.
func (r *reporter) forget(unassigned func(worker string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.lastSent {
		if unassigned(w) {
			delete(r.lastSent, w)
		}
	}
}

// acceptReading passes a reading of another VM to the reducer. It returns false if
// the reading is brief and no inventory with its mark is stored.
func (r *reporter) acceptReading(e *peerv1.Reading) (bool, error) {
	i, ok, err := r.resolveInventory(e)
	if err != nil || !ok {
		return false, err
	}
	age := time.Duration(e.GetAgeMs()) * time.Millisecond
	r.s.post(eventMessage{reducer.WorkerReported{Inventory: i, Age: age}})
	return true, nil
}

// resolveInventory returns the inventory of a reading: the one that came with it, or
// the stored one with the same mark.
func (r *reporter) resolveInventory(e *peerv1.Reading) (leaser.Inventory, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(e.GetInventory()) == 0 {
		i, ok := r.received[e.GetWorker()]
		return i, ok && i.Mark == e.GetMark(), nil
	}
	// A new variable, since decoding into the stored inventory would change leases that
	// the control state shares.
	var i leaser.Inventory
	if err := json.Unmarshal(e.GetInventory(), &i); err != nil {
		return i, false, fmt.Errorf("decode inventory of worker %s: %w", e.GetWorker(), err)
	}
	r.received[i.Worker] = i
	return i, true, nil
}

// Report accepts readings for the reducer, if this VM leads.
func (p *peerServer) Report(_ context.Context, q *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	a := &peerv1.ReportResponse{Leading: p.s.controlState().Leading()}
	if !a.GetLeading() {
		return connect.NewResponse(a), nil
	}
	for _, e := range q.Msg.GetReadings() {
		ok, err := p.s.reporter.acceptReading(e)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !ok {
			a.Wanted = append(a.Wanted, e.GetWorker())
		}
	}
	return connect.NewResponse(a), nil
}
