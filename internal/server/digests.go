package server

import (
	"hash/fnv"
	"sync"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// digests leaves out of heartbeats what the reader has. A digest is sent whole once
// and again when it has changed; else its mark stands for it.
type digests struct {
	mu   sync.Mutex
	held map[string]*peerv1.Digest // by VM, the last that came whole
	at   map[string]peerAt         // by address
}

// peerAt is the VM that answered at an address, and the mark of this VM's digest
// that it had.
type peerAt struct {
	vm   string
	mark uint64
}

func newDigests() *digests {
	return &digests{held: map[string]*peerv1.Digest{}, at: map[string]peerAt{}}
}

// withMark sets the mark of a digest: a hash of all of it but what each heartbeat
// changes, never 0.
func withMark(d *peerv1.Digest) *peerv1.Digest {
	sequence, down := d.GetSequence(), d.GetLogDownMs()
	d.Sequence, d.LogDownMs = 0, 0
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(d) // fails on invalid UTF-8 only, which no reader would take
	d.Sequence, d.LogDownMs = sequence, down
	h := fnv.New64a()
	_, _ = h.Write(b)
	d.Mark = max(1, h.Sum64())
	return d
}

// brief returns what to send of d to somebody who has the digest with the mark known.
func brief(d *peerv1.Digest, known uint64) *peerv1.Digest {
	if d.GetMark() != known {
		return d
	}
	return &peerv1.Digest{Vm: d.GetVm(), Sequence: d.GetSequence(), LogDownMs: d.GetLogDownMs(), Mark: known, Brief: true}
}

// whole returns the digest that d stands for. It reports false when d is brief and
// stands for one that is not held; the sender then learns that from known.
func (s *digests) whole(d *peerv1.Digest) (*peerv1.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.GetBrief() {
		s.held[d.GetVm()] = d
		return d, true
	}
	h := s.held[d.GetVm()]
	if h.GetMark() != d.GetMark() {
		return nil, false
	}
	w := proto.CloneOf(h)
	w.Sequence, w.LogDownMs = d.GetSequence(), d.GetLogDownMs()
	return w, true
}

// known returns the mark of the digest of a VM that is held, 0 for none.
func (s *digests) known(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[vm].GetMark()
}

// request returns the heartbeat to an address.
func (s *digests) request(address string, d *peerv1.Digest) *peerv1.BeatRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.at[address]
	return &peerv1.BeatRequest{Digest: brief(d, p.mark), Known: s.held[p.vm].GetMark()}
}

// answered notes which VM answered at an address, and what it has.
func (s *digests) answered(address string, a *peerv1.BeatResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[address] = peerAt{vm: a.GetDigest().GetVm(), mark: a.GetKnown()}
}
