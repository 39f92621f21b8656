package server

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/proto/peer/v1/peerv1connect"
)

// The limits on calls between entry VMs.
const (
	peerTimeout  = 1 * time.Second // of one call; below heartbeater.Interval calls don't pile up
	peerPing     = 2 * time.Second // silence after which a connection is probed
	peerPingWait = 1 * time.Second // answer to a probe, else the connection is dropped
	maxPeerBody  = 32 << 20        // bytes; the inventories of 125 workers with 29 tasks each
)

// peerClient returns a client for calls to other entry VMs. It probes silent
// connections and drops those that don't answer.
func peerClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: p,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: peerPing,
			PingTimeout:     peerPingWait,
		},
	}}
}

// peer returns a caller of the entry VM at an address.
func (s *Server) peer(address string) peerv1connect.PeerClient {
	return peerv1connect.NewPeerClient(s.peers, "http://"+address,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.sendSecret)),
		connect.WithReadMaxBytes(maxPeerBody))
}

func (s *Server) sendSecret(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, q connect.AnyRequest) (connect.AnyResponse, error) {
		if q.Spec().IsClient {
			q.Header().Set("Authorization", s.peerKey.Header())
		}
		return next(ctx, q)
	}
}

// peerHandler serves other entry VMs; a caller without the secret is refused.
func (s *Server) peerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(peerv1connect.NewPeerHandler(&peerServer{s: s}, connect.WithReadMaxBytes(maxPeerBody)))
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if err := s.peerKey.Check(q.Header.Get("Authorization")); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		m.ServeHTTP(w, q)
	})
}

// peerServer answers the calls of other entry VMs.
type peerServer struct{ s *Server }

// Beat notes the caller's digest and answers with this VM's.
func (p *peerServer) Beat(_ context.Context, q *connect.Request[peerv1.BeatRequest]) (*connect.Response[peerv1.BeatResponse], error) {
	d := q.Msg.GetDigest()
	if d.GetVm() == "" || d.GetVm() == p.s.Settings.VM {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("heartbeat of VM %q at VM %q", d.GetVm(), p.s.Settings.VM))
	}
	p.s.heard(d)
	return connect.NewResponse(&peerv1.BeatResponse{Digest: p.s.digest()}), nil
}

// heard passes a digest on to control and to the renewer.
func (s *Server) heard(d *peerv1.Digest) {
	s.renewer.told(s.Now(), d)
	s.post(heardMessage{heartbeater.Digest{
		VM:              d.GetVm(),
		Zone:            d.GetZone(),
		Address:         d.GetAddress(),
		Incarnation:     d.GetIncarnation(),
		Sequence:        d.GetSequence(),
		Leaving:         d.GetLeaving(),
		Ready:           d.GetReady(),
		ConfigRevision:  d.GetConfigRevision(),
		ControlOffset:   d.GetControlOffset(),
		Leading:         d.GetLeading(),
		Epoch:           leaser.Epoch{Term: d.GetTerm(), SubTerm: d.GetSubTerm()},
		Heard:           d.GetHeard(),
		LogDown:         time.Duration(d.GetLogDownMs()) * time.Millisecond,
		LeavingExecutor: d.GetLeavingExecutors(),
	}})
}

// digest returns what this VM tells the others now.
func (s *Server) digest() *peerv1.Digest {
	v := s.view.Load()
	now := s.Now()
	e := v.control.Epoch()
	return &peerv1.Digest{
		Vm:               s.Settings.VM,
		Zone:             s.Settings.Zone,
		Address:          s.ownAddress(),
		Incarnation:      s.incarnation,
		Sequence:         s.sequence.Add(1),
		Leaving:          s.leaving.Load(),
		Ready:            v.notReady() == "",
		Term:             e.Term,
		SubTerm:          e.SubTerm,
		Leading:          v.control.Leading(),
		ConfigRevision:   v.config.Revision(),
		ControlOffset:    v.controlOffset,
		LeavingExecutors: v.leaving,
		Gangs:            s.renewer.gangs(now),
		Heard:            v.members.Heard(now),
		LogDownMs:        v.logDown(now).Milliseconds(),
	}
}

// ownAddress returns where this VM tells others to reach it, "" when they are to
// take the list's address.
func (s *Server) ownAddress() string {
	a, err := netip.ParseAddrPort(s.peersAddress)
	if err != nil || s.Settings.Translated || a.Addr().IsUnspecified() {
		return ""
	}
	return s.peersAddress
}

// beat exchanges heartbeats with the other entry VMs until ctx ends.
func (s *Server) beat(ctx context.Context) {
	every(ctx, heartbeater.Interval, func() {
		for _, m := range s.view.Load().members.Calls(s.Now()) {
			go s.beatOne(ctx, m.Address)
		}
		for _, a := range s.unknownPeers() {
			go s.beatOne(ctx, a)
		}
	})
}

func (s *Server) beatOne(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := s.peer(address).Beat(c, connect.NewRequest(&peerv1.BeatRequest{Digest: s.digest()}))
	if err != nil {
		s.quiet.log("beat", address, fmt.Errorf("heartbeat to %s: %w", address, err))
		return
	}
	s.heard(a.Msg.GetDigest())
}

// unknownPeers returns the addresses of the settings at which no VM is known.
func (s *Server) unknownPeers() []string {
	known := map[string]bool{s.peersAddress: true}
	for _, m := range s.view.Load().members.Members() {
		known[m.Address] = true
	}
	var a []string
	for _, p := range s.Settings.PeerAddresses {
		if !known[p] {
			a = append(a, p)
		}
	}
	return a
}

// every calls f now and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
