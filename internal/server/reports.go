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

// reportInterval is the longest time between reports of a worker that has not
// changed. The leader probes one that is silent for 4 s.
const reportInterval = 2 * time.Second

// reporter passes on to the leader what this VM reads from workers, and takes
// what others read while this VM leads. An inventory is sent whole only when the
// leader lacks it.
type reporter struct {
	s *Server

	mu       sync.Mutex
	reported map[string]reported         // by worker, what the leader was told last
	taken    map[string]leaser.Inventory // by worker, what this VM was told as leader
}

// reported is what the leader was last told of a worker.
type reported struct {
	leader string
	mark   string
	at     time.Time
}

func newReporter(s *Server) *reporter {
	return &reporter{s: s, reported: map[string]reported{}, taken: map[string]leaser.Inventory{}}
}

// report tells the leader of the readings that are news to it, in one call.
func (r *reporter) report(ctx context.Context, readings []leaser.Reading) {
	leader, address := r.s.view.Load().leader(r.s.Now())
	if leader == r.s.Settings.VM {
		for _, x := range readings {
			r.s.post(eventMessage{reducer.WorkerReported{Inventory: x.Inventory, Age: r.s.Now().Sub(x.At)}})
		}
		return
	}
	if address == "" {
		return // nobody leads at present
	}
	q, told := r.news(leader, readings)
	if len(told) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := r.s.peer(address).Report(c, connect.NewRequest(q))
	if err == nil && !a.Msg.GetLeading() {
		err = fmt.Errorf("%s does not lead", leader)
	}
	if err != nil {
		r.s.quiet.log("report", leader, fmt.Errorf("report %d workers to leader %s: %w", len(told), leader, err))
		return
	}
	r.noted(told, a.Msg.GetWanted())
}

// news returns the readings that the leader is to be told, and what it then knows.
func (r *reporter) news(leader string, readings []leaser.Reading) (*peerv1.ReportRequest, map[string]reported) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, told := &peerv1.ReportRequest{}, map[string]reported{}
	for _, x := range readings {
		i := x.Inventory
		last := r.reported[i.Worker]
		known := last.leader == leader && last.mark == i.Mark
		if known && x.At.Sub(last.at) < reportInterval {
			continue
		}
		e := &peerv1.Reading{Worker: i.Worker, Mark: i.Mark, AgeMs: r.s.Now().Sub(x.At).Milliseconds()}
		if !known {
			b, err := json.Marshal(i)
			if err != nil {
				r.s.quiet.log("report", i.Worker, fmt.Errorf("encode inventory of worker %s: %w", i.Worker, err))
				continue
			}
			e.Inventory = b
		}
		q.Readings = append(q.Readings, e)
		told[i.Worker] = reported{leader, i.Mark, x.At}
	}
	return q, told
}

// noted keeps what the leader was told, but for the workers that it lacks.
func (r *reporter) noted(told map[string]reported, wanted []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w, x := range told {
		r.reported[w] = x
	}
	for _, w := range wanted {
		delete(r.reported, w)
	}
}

// forget drops what is known of workers that this VM does not renew any more.
func (r *reporter) forget(gone func(worker string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.reported {
		if gone(w) {
			delete(r.reported, w)
		}
	}
}

// take takes one reading of another VM for the reducer. It reports false when the
// inventory is not known by its mark.
func (r *reporter) take(e *peerv1.Reading) (bool, error) {
	i, ok, err := r.inventory(e)
	if err != nil || !ok {
		return false, err
	}
	age := time.Duration(e.GetAgeMs()) * time.Millisecond
	r.s.post(eventMessage{reducer.WorkerReported{Inventory: i, Age: age}})
	return true, nil
}

// inventory returns the inventory of a reading, the one that came with it or the
// one taken before under the same mark.
func (r *reporter) inventory(e *peerv1.Reading) (leaser.Inventory, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(e.GetInventory()) == 0 {
		i, ok := r.taken[e.GetWorker()]
		return i, ok && i.Mark == e.GetMark(), nil
	}
	// A new variable: decoding into the one taken before would change leases that
	// the control state shares.
	var i leaser.Inventory
	if err := json.Unmarshal(e.GetInventory(), &i); err != nil {
		return i, false, fmt.Errorf("decode inventory of worker %s: %w", e.GetWorker(), err)
	}
	r.taken[i.Worker] = i
	return i, true, nil
}

// Report takes readings for the reducer, if this VM leads.
func (p *peerServer) Report(_ context.Context, q *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	a := &peerv1.ReportResponse{Leading: p.s.controlState().Leading()}
	if !a.GetLeading() {
		return connect.NewResponse(a), nil
	}
	for _, e := range q.Msg.GetReadings() {
		ok, err := p.s.reporter.take(e)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !ok {
			a.Wanted = append(a.Wanted, e.GetWorker())
		}
	}
	return connect.NewResponse(a), nil
}
