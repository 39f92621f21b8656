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

// topicPeers holds the addresses of all entry VMs, keyed by name.
const topicPeers = "vms"

const (
	peerDialTimeout    = 300 * time.Millisecond // the latency between VMs is a few milliseconds
	maxIdlePerPeer     = 2                      // idle connections
	registerRetryDelay = 500 * time.Millisecond // between two attempts to register
)

// peers tracks the other entry VMs. It is safe for concurrent use.
type peers struct {
	self  string
	seeds []string // addresses from the settings, which may be outdated

	mu        sync.Mutex
	addresses map[string]string
	clients   map[string]accessor.Client
}

// apply applies records of topicPeers.
func (p *peers) apply(b tailer.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Snapshot || p.addresses == nil {
		p.addresses = map[string]string{}
	}
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			delete(p.addresses, r.Key)
			continue
		}
		p.addresses[r.Key] = string(r.Value)
	}
}

// list returns the addresses of the other entry VMs, sorted.
func (p *peers) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, v := range p.addresses {
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

// client returns the client that calls the store through the VM at an address.
func (p *peers) client(address string) accessor.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x, ok := p.clients[address]; ok {
		return x
	}
	if p.clients == nil {
		p.clients = map[string]accessor.Client{}
	}
	d := prober.Dialer()
	d.Timeout = peerDialTimeout
	x := relayer.PeerClient(&http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerPeer, DisableCompression: true,
	}}, address)
	p.clients[address] = x
	return x
}

// register stores the address of this VM for the other VMs.
func (a *Assembler) register(ctx context.Context) {
	if a.Settings.Peers == "" {
		return
	}
	for ctx.Err() == nil {
		_, err := a.store.Append(ctx, accessor.Append{
			Topic: platform.WireTopic(topicPeers), ExpectedEnd: accessor.AnyOffset,
			Records: []accessor.Record{{Key: a.Settings.VM, Value: []byte(a.Settings.Peers)}},
		})
		if err == nil {
			return
		}
		a.log("register").WithError(err).Warn("can't store the address of this VM; retrying")
		_ = sleeper.Sleep(ctx, registerRetryDelay) // fails only when the context ends
	}
}

// logDirectAccess logs whether this VM reaches a topic of the store directly.
func (a *Assembler) logDirectAccess(topic string, direct bool) {
	l := a.log("reach").WithField("store", a.Settings.Store).WithField("topic", topic)
	if direct {
		l.Info("direct access to the store has recovered")
		return
	}
	l.Warn("no direct access to the store; relaying calls through other VMs")
}
