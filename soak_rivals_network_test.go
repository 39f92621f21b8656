package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// rivalEndpoint stands before an executor or the store. It carries out a share of the calls
// without an answer, at once or late.
type rivalEndpoint struct {
	handler  http.Handler
	executor *platformstandin.Executor // nil for the store
	rand     *rand.Rand
	called   func(vm, path string, body []byte, late bool) // may be nil
	vms      map[string]string                             // by the address that they call

	mu    sync.Mutex
	share atomic.Int32 // of calls that get no answer, in percent
}

const (
	rivalMinLate = 2 * time.Second
	rivalMaxLate = 12 * time.Second
)

// ServeHTTP handles one call.
func (e *rivalEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if *soakBreak == "rivals" && r.URL.Path == "/hold" {
		b = extendHold(b)
	}
	unanswered, delay := e.draw()
	if e.called != nil {
		e.called(e.vms[r.Host], r.URL.Path, b, unanswered)
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	if !unanswered {
		e.handler.ServeHTTP(w, r)
		return
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	go func() {
		defer func() { _ = recover() }() // the executor has restarted
		time.Sleep(delay)
		e.handler.ServeHTTP(httptest.NewRecorder(), late)
	}()
	panic(http.ErrAbortHandler)
}

// draw decides whether a call gets no answer, and how late it is carried out then.
func (e *rivalEndpoint) draw() (bool, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rand.Int32N(100) >= e.share.Load() {
		return false, 0
	}
	if e.rand.IntN(3) == 0 {
		return true, 0
	}
	return true, rivalMinLate + time.Duration(e.rand.Int64N(int64(rivalMaxLate-rivalMinLate)))
}

// extendHold lets a hold that extends leases extend them for as long as the executor allows.
func extendHold(body []byte) []byte {
	var m map[string]json.RawMessage
	if json.Unmarshal(body, &m) != nil || m["deadlineMs"] == nil {
		return body
	}
	m["deadlineMs"] = json.RawMessage("4000000000000")
	b, _ := json.Marshal(m)
	return b
}

// rivalNetwork is how a VM reaches everything else: the routes "store" and "machines", and
// one by the name of each executor and VM. The VM knows only the addresses of its routes.
type rivalNetwork struct {
	link    *standin.Link
	rewrite *strings.Replacer // of the addresses of others to those of its routes

	mu   sync.Mutex
	cuts map[string][]*rivalCut // by route, the last one is in force
}

type rivalCut struct{ state string }

func (n *rivalNetwork) address(route string) string { return n.link.Addresses()[route] }

// cut changes the state of routes until the function that it returns is called.
func (n *rivalNetwork) cut(state string, routes ...string) func() {
	c := &rivalCut{state}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range routes {
		n.cuts[r] = append(n.cuts[r], c)
	}
	n.apply(routes)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, r := range routes {
			n.cuts[r] = slices.DeleteFunc(n.cuts[r], func(v *rivalCut) bool { return v == c })
		}
		n.apply(routes)
	}
}

// apply brings the last cuts of routes into force. n.mu must be held.
func (n *rivalNetwork) apply(routes []string) {
	states := map[string]string{}
	for _, r := range routes {
		states[r] = string(standin.LinkUp)
		if c := n.cuts[r]; len(c) > 0 {
			states[r] = c[len(c)-1].state
		}
	}
	n.control(map[string]any{"state": states})
}

func (n *rivalNetwork) control(body any) {
	b, _ := json.Marshal(body)
	n.link.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/control", bytes.NewReader(b)))
}

// addNetwork adds the network of a VM. The executors and the VMs have their addresses.
func (s *rivalSoak) addNetwork(i int, machines string) {
	routes, to := []string{"store", "machines"}, map[string]string{}
	for _, w := range s.workers {
		routes, to[w.id] = append(routes, w.id), w.address
	}
	for k, v := range s.vms {
		if k != i {
			routes = append(routes, v.name)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	l, err := standin.NewLink(ctx, "127.0.0.1", routes)
	if err != nil {
		s.t.Fatal(err)
	}
	n := &rivalNetwork{link: l, cuts: map[string][]*rivalCut{}}
	s.networks = append(s.networks, n)
	proxy := &platformstandin.StoreProxy{Store: s.store, Rewrite: func(b []byte) []byte { return []byte(n.rewrite.Replace(string(b))) }}
	e := &rivalEndpoint{handler: proxy, rand: rand.New(rand.NewPCG(s.seed, uint64(200+i)))}
	s.stores, s.proxies = append(s.stores, e), append(s.proxies, proxy)
	to["store"], to["machines"] = s.serve(e), machines
	peers := s.serve(s.peerProxy(n))
	for k, v := range s.vms {
		if k != i {
			to[v.name] = peers
		}
	}
	n.control(map[string]any{"to": to})
	go func() { _ = l.Run(ctx) }()
	for k, w := range s.workers {
		s.endpoints[k].vms[n.address(w.id)] = s.vms[i].name
	}
}

// replacer returns the replacer of all addresses that others know, or are shown by the store,
// to those of VM i.
func (s *rivalSoak) replacer(i int) *strings.Replacer {
	var pairs []string
	n := s.networks[i]
	add := func(address func(route, own string) string) {
		for _, w := range s.workers {
			pairs = append(pairs, address(w.id, w.address), n.address(w.id))
		}
		for k, v := range s.vms {
			mine := n.address(v.name)
			if k == i {
				mine = v.peers
			}
			if a := address(v.name, v.peers); a != "" {
				pairs = append(pairs, a, mine)
			}
		}
	}
	add(func(_, own string) string { return own })
	for k, other := range s.networks {
		if k != i {
			add(func(route, _ string) string { return other.address(route) })
		}
	}
	return strings.NewReplacer(pairs...)
}

// peerProxy passes the calls of a VM on to other VMs, and shows it its own addresses in the
// records that they read for it.
func (s *rivalSoak) peerProxy(n *rivalNetwork) http.Handler {
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			for _, v := range s.vms {
				if n.address(v.name) == r.In.Host {
					r.SetURL(&url.URL{Scheme: "http", Host: v.peers})
				}
			}
			r.Out.Header.Del("Accept-Encoding")
		},
		Transport:      &http.Transport{DisableCompression: true},
		ModifyResponse: n.rewriteRecords,
		ErrorHandler:   func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
	}
}

// rewriteRecords rewrites the records in the answer of another VM.
func (n *rivalNetwork) rewriteRecords(r *http.Response) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	var m map[string]json.RawMessage
	var records []map[string]json.RawMessage
	if json.Unmarshal(b, &m) == nil && json.Unmarshal(m["records"], &records) == nil {
		for _, v := range records {
			var value []byte
			if json.Unmarshal(v["value"], &value) == nil {
				v["value"], _ = json.Marshal([]byte(n.rewrite.Replace(string(value))))
			}
		}
		m["records"], _ = json.Marshal(records)
		b, _ = json.Marshal(m)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return nil
}
