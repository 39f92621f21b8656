package server

import (
	"context"
	"encoding/json"
	"fmt"

	"connectrpc.com/connect"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// Jobs returns the state of jobs to another entry VM, if this VM leads.
func (p *peerServer) Jobs(_ context.Context, q *connect.Request[peerv1.JobsRequest]) (*connect.Response[peerv1.JobsResponse], error) {
	c := p.s.controlState()
	a := &peerv1.JobsResponse{Leading: c.Leading()}
	if !a.GetLeading() {
		return connect.NewResponse(a), nil
	}
	for _, j := range p.s.jobResponses(c, q.Msg.GetIds(), q.Msg.GetWhy()) {
		b, err := json.Marshal(j)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode job %s: %w", j.ID, err))
		}
		a.Jobs = append(a.Jobs, b)
	}
	return connect.NewResponse(a), nil
}

func (s *Server) jobResponses(c reducer.State, ids []string, why bool) []responder.JobResponse {
	var all []reducer.JobStatus
	if len(ids) == 0 {
		all = c.Jobs()
	}
	for _, id := range ids {
		if j, ok := c.Job(id); ok {
			all = append(all, j)
		}
	}
	a := make([]responder.JobResponse, len(all))
	for i, j := range all {
		a[i] = responder.NewJobResponse(j)
		if why {
			a[i].Why = c.ExplainWait(s.Now(), j.Job.ID)
		}
	}
	return a
}

// jobsFromLeader asks the leader for the state of jobs. It returns nil if this VM
// leads or the leader cannot be reached.
func (s *Server) jobsFromLeader(ctx context.Context, ids []string, why bool) map[string]responder.JobResponse {
	v := s.view.Load()
	leader, address := v.leader(s.Now())
	if address == "" {
		return nil
	}
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := s.peer(address).Jobs(c, connect.NewRequest(&peerv1.JobsRequest{Ids: ids, Why: why}))
	if err != nil {
		s.throttled.log("jobs", address, fmt.Errorf("fetch jobs from leader %s: %w", leader, err))
		return nil
	}
	m := map[string]responder.JobResponse{}
	for _, b := range a.Msg.GetJobs() {
		var j responder.JobResponse
		if err := json.Unmarshal(b, &j); err != nil {
			s.throttled.log("jobs", address, fmt.Errorf("decode job from leader %s: %w", leader, err))
			return nil
		}
		m[j.ID] = j
	}
	return m
}
