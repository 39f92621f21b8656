package assembler

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/sleeper"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/relayer"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/prober"
)

// topicPeers holds the addresses of all entry VMs, by name.
const topicPeers = "vms"

const (
	peerDial     = 300 * time.Millisecond // VMs are a few milliseconds apart
	peerIdle     = 2                      // connections kept to another VM
	registerWait = 500 * time.Millisecond // between two tries to register
)

// peers knows the other entry VMs. It is safe for concurrent use.
type peers struct {
	self  string
	seeds []string // may be stale

	mu     sync.Mutex
	byName map[string]string
	ways   map[string]accessor.Access
}

// take takes in records of topicPeers.
func (p *peers) take(b tailer.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Snapshot || p.byName == nil {
		p.byName = map[string]string{}
	}
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			delete(p.byName, r.Key)
			continue
		}
		p.byName[r.Key] = string(r.Value)
	}
}

// list returns the addresses of the other entry VMs, sorted.
func (p *peers) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, v := range p.byName {
		if v != p.self {
			all = append(all, v)
		}
	}
	for _, v := range p.seeds {
		if v != p.self && !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	slices.Sort(all)
	return all
}

// access returns the way to the store through the VM at an address.
func (p *peers) access(address string) accessor.Access {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x, ok := p.ways[address]; ok {
		return x
	}
	if p.ways == nil {
		p.ways = map[string]accessor.Access{}
	}
	d := prober.Dialer()
	d.Timeout = peerDial
	x := relayer.PeerAccess(&http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: peerIdle, DisableCompression: true,
	}}, address)
	p.ways[address] = x
	return x
}

// register tells the other VMs the address of this one.
func (a *Assembler) register(ctx context.Context) {
	if a.Settings.Peers == "" {
		return
	}
	for ctx.Err() == nil {
		_, err := a.store.Append(ctx, accessor.Append{
			Topic: platform.OwnTopic(topicPeers), At: accessor.Anywhere,
			Records: []accessor.Record{{Key: a.Settings.VM, Value: []byte(a.Settings.Peers)}},
		})
		if err == nil {
			return
		}
		a.log("register").WithError(err).Warn("address is not stored yet")
		_ = sleeper.Sleep(ctx, registerWait) // ends early with the context only
	}
}

// directChanged logs that the store turns this VM away, or serves it again.
func (a *Assembler) directChanged(direct bool) {
	l := a.log("reach").WithField("store", a.Settings.Store)
	if direct {
		l.Info("store serves this VM again")
		return
	}
	l.Warn("store does not serve this VM; other VMs are asked")
}
