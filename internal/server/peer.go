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

// Limits on calls between entry VMs.
const (
	peerTimeout      = 1 * time.Second // per call; below heartbeater.Interval, so that calls don't accumulate
	peerPingInterval = 2 * time.Second // silence after which a connection is probed
	peerPingTimeout  = 1 * time.Second // a connection whose probe is not answered by then is dropped
	minCompressBytes = 1024            // heartbeats are smaller and would grow
	maxPeerBodyBytes = 32 << 20        // inventories of 125 workers with 29 tasks each
)

// peerClient returns an HTTP client for calls to other entry VMs. It probes silent
// connections and drops those that do not answer.
func peerClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: p,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: peerPingInterval,
			PingTimeout:     peerPingTimeout,
		},
	}}
}

// peer returns a client of the entry VM at an address.
func (s *Server) peer(address string) peerv1connect.PeerClient {
	return peerv1connect.NewPeerClient(s.peers, "http://"+address,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.addPeerAuth)),
		connect.WithReadMaxBytes(maxPeerBodyBytes))
}

func (s *Server) addPeerAuth(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, q connect.AnyRequest) (connect.AnyResponse, error) {
		if q.Spec().IsClient {
			q.Header().Set("Authorization", s.peerAuthenticator.Header())
		}
		return next(ctx, q)
	}
}

// peerHandler serves other entry VMs and rejects callers without the shared secret.
func (s *Server) peerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(peerv1connect.NewPeerHandler(&peerServer{s: s},
		connect.WithReadMaxBytes(maxPeerBodyBytes), connect.WithCompressMinBytes(minCompressBytes)))
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if err := s.peerAuthenticator.Check(q.Header.Get("Authorization")); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		m.ServeHTTP(w, q)
	})
}

// peerServer implements the Peer service.
type peerServer struct{ s *Server }

// Beat records the caller's digest and returns this VM's.
func (p *peerServer) Beat(_ context.Context, q *connect.Request[peerv1.BeatRequest]) (*connect.Response[peerv1.BeatResponse], error) {
	d := q.Msg.GetDigest()
	if d.GetVm() == "" || d.GetVm() == p.s.Settings.VM {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("heartbeat from VM %q rejected by VM %q: the id is empty or this VM's own", d.GetVm(), p.s.Settings.VM))
	}
	if w, ok := p.s.digests.expand(d); ok {
		p.s.receiveDigest(w)
	}
	a := &peerv1.BeatResponse{Digest: abbreviate(p.s.digest(), q.Msg.GetKnown()), Known: p.s.digests.knownMark(d.GetVm())}
	return connect.NewResponse(a), nil
}

// receiveDigest passes a digest to the control goroutine and the renewer.
func (s *Server) receiveDigest(d *peerv1.Digest) {
	s.renewer.recordPeerDigest(s.Now(), d)
	s.post(digestMessage{heartbeater.Digest{
		VM:               d.GetVm(),
		Zone:             d.GetZone(),
		Address:          d.GetAddress(),
		Incarnation:      d.GetIncarnation(),
		Sequence:         d.GetSequence(),
		Leaving:          d.GetLeaving(),
		Ready:            d.GetReady(),
		ConfigRevision:   d.GetConfigRevision(),
		ControlOffset:    d.GetControlOffset(),
		Leading:          d.GetLeading(),
		Epoch:            leaser.Epoch{Term: d.GetTerm(), SubTerm: d.GetSubTerm()},
		Heard:            d.GetHeard(),
		JobsWaiting:      d.GetWaiting(),
		LogDownFor:       time.Duration(d.GetLogDownMs()) * time.Millisecond,
		LeavingExecutors: d.GetLeavingExecutors(),
	}})
}

// digest returns the current digest of this VM.
func (s *Server) digest() *peerv1.Digest {
	v := s.view.Load()
	now := s.Now()
	e := v.control.Epoch()
	return withMark(&peerv1.Digest{
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
		LeavingExecutors: v.leavingExecutors,
		Gangs:            s.renewer.partialGangs(now),
		Heard:            v.members.Heard(now),
		Unreached:        s.renewer.unreachable(),
		Waiting:          v.control.Leading() && v.control.Waiting(),
		LogDownMs:        v.logDown(now).Milliseconds(),
	})
}

// ownAddress returns the address at which other VMs reach this one, or "" if they
// should use the address in the list.
func (s *Server) ownAddress() string {
	a, err := netip.ParseAddrPort(s.peersAddress)
	if err != nil || s.Settings.Translated || a.Addr().IsUnspecified() {
		return ""
	}
	return s.peersAddress
}

// runHeartbeats exchanges heartbeats with the other entry VMs until ctx ends.
func (s *Server) runHeartbeats(ctx context.Context) {
	every(ctx, heartbeater.Interval, func() {
		for _, m := range s.view.Load().members.HeartbeatTargets(s.Now()) {
			go s.exchangeHeartbeat(ctx, m.Address)
		}
		for _, a := range s.unknownPeers() {
			go s.exchangeHeartbeat(ctx, a)
		}
	})
}

// exchangeHeartbeat exchanges digests with the VM at an address. If that VM turns
// out not to hold the digest that was sent in brief, the full digest is sent at
// once.
func (s *Server) exchangeHeartbeat(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for sent := false; !sent; {
		d := s.digest()
		q := s.digests.beatRequest(address, d)
		a, err := s.peer(address).Beat(c, connect.NewRequest(q))
		if err != nil {
			s.throttled.log("beat", address, fmt.Errorf("heartbeat to %s: %w", address, err))
			return
		}
		if w, ok := s.digests.expand(a.Msg.GetDigest()); ok {
			s.receiveDigest(w)
		}
		s.digests.recordResponse(address, a.Msg)
		sent = !q.GetDigest().GetBrief() || a.Msg.GetKnown() == d.GetMark()
	}
}

// unknownPeers returns the peer addresses in the settings at which no VM is known
// yet.
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

// every calls f immediately and then at each interval until ctx ends.
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
