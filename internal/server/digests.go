package server

import (
	"hash/fnv"
	"sync"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// digestCache shortens heartbeats: a digest is sent in full first and whenever it
// has changed, otherwise only its mark is sent.
type digestCache struct {
	mu    sync.Mutex
	full  map[string]*peerv1.Digest // by VM, the last full digest received
	peers map[string]peerMark       // by address
}

// peerMark is the VM that answered at an address and the mark of this VM's digest
// that it holds.
type peerMark struct {
	vm   string
	mark uint64
}

func newDigestCache() *digestCache {
	return &digestCache{full: map[string]*peerv1.Digest{}, peers: map[string]peerMark{}}
}

// withMark sets the mark of a digest: a hash of all fields except those that change
// with every heartbeat. It is never 0.
func withMark(d *peerv1.Digest) *peerv1.Digest {
	sequence, down := d.GetSequence(), d.GetLogDownMs()
	d.Sequence, d.LogDownMs = 0, 0
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(d) // fails only on invalid UTF-8, which the receiver would reject too
	d.Sequence, d.LogDownMs = sequence, down
	h := fnv.New64a()
	_, _ = h.Write(b)
	d.Mark = max(1, h.Sum64())
	return d
}

// abbreviate returns d without what a receiver has that holds the digest with mark
// known.
func abbreviate(d *peerv1.Digest, known uint64) *peerv1.Digest {
	if d.GetMark() != known {
		return d
	}
	return &peerv1.Digest{Vm: d.GetVm(), Sequence: d.GetSequence(), LogDownMs: d.GetLogDownMs(), Mark: known, Brief: true}
}

// expand returns the full digest for d. It returns false if d is brief and its full
// digest is not cached; the sender learns this from the known mark in the reply.
func (s *digestCache) expand(d *peerv1.Digest) (*peerv1.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.GetBrief() {
		s.full[d.GetVm()] = d
		return d, true
	}
	h := s.full[d.GetVm()]
	if h.GetMark() != d.GetMark() {
		return nil, false
	}
	w := proto.CloneOf(h)
	w.Sequence, w.LogDownMs = d.GetSequence(), d.GetLogDownMs()
	return w, true
}

// knownMark returns the mark of the cached digest of a VM, 0 if there is none.
func (s *digestCache) knownMark(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full[vm].GetMark()
}

// beatRequest returns the heartbeat request for an address.
func (s *digestCache) beatRequest(address string, d *peerv1.Digest) *peerv1.BeatRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	return &peerv1.BeatRequest{Digest: abbreviate(d, p.mark), Known: s.full[p.vm].GetMark()}
}

// recordResponse records which VM answered at an address and the mark that it holds.
func (s *digestCache) recordResponse(address string, a *peerv1.BeatResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[address] = peerMark{vm: a.GetDigest().GetVm(), mark: a.GetKnown()}
}
