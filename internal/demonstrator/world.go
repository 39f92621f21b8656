package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/server"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// world is everything that runs.
type world struct {
	logger *logrus.Logger
	client *http.Client
	dir    string // of the secret file

	cancel  context.CancelFunc
	running sync.WaitGroup

	log, list   string // addresses
	executors   map[string][]*executorNode
	workers     map[string]*standin.Worker
	workerAddrs map[string]string
	vms         []*vm

	operatorKey, operatorHash string
	keys, hashes              map[string]string // by organisation

	mu    sync.Mutex
	calls []callResult
	jobs  []jobResult
}

// executorNode is an executor and where it is.
type executorNode struct {
	executor *standin.Executor
	address  string
}

// vm is an entry VM.
type vm struct {
	id      string
	callers string // address
	end     context.CancelCauseFunc
	ended   chan error
	dead    bool
}

func newWorld(l *logrus.Logger) *world {
	return &world{
		logger:      l,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		executors:   map[string][]*executorNode{},
		workers:     map[string]*standin.Worker{},
		workerAddrs: map[string]string{},
		keys:        map[string]string{},
		hashes:      map[string]string{},
	}
}

// start starts the platform and the entry VMs.
func start(ctx context.Context, w *world, _ *Report) error {
	ctx, w.cancel = context.WithCancel(ctx)
	if err := w.makeKeys(); err != nil {
		return err
	}
	var err error
	if w.log, err = w.serve(ctx, standin.NewLog()); err != nil {
		return err
	}
	if w.list, err = w.serve(ctx, standin.NewList()); err != nil {
		return err
	}
	if err := w.startBackends(ctx); err != nil {
		return err
	}
	for i := range entryVMs {
		if err := w.startVM(ctx, i); err != nil {
			return err
		}
	}
	return until(ctx, "every entry VM is ready and one leads", func() (bool, error) {
		all, err := w.status(ctx)
		leaders := 0
		for _, s := range all {
			if !s.Ready || len(s.Live) != entryVMs {
				return false, err
			}
			if s.Leading {
				leaders++
			}
		}
		return leaders == 1, err
	})
}

// makeKeys makes the keys of operators, organisations and entry VMs.
func (w *world) makeKeys() error {
	var err error
	if w.operatorKey, w.operatorHash, err = authenticator.NewKey(); err != nil {
		return err
	}
	for _, o := range []string{owner, borrower} {
		if w.keys[o], w.hashes[o], err = authenticator.NewKey(); err != nil {
			return err
		}
	}
	if w.dir, err = os.MkdirTemp("", "lacewingdoor-demo"); err != nil {
		return fmt.Errorf("make a directory for the secret: %w", err)
	}
	secret, _, err := authenticator.NewKey()
	if err != nil {
		return err
	}
	if err := os.WriteFile(w.secretFile(), []byte(secret), 0o600); err != nil {
		return fmt.Errorf("write the secret: %w", err)
	}
	return nil
}

func (w *world) secretFile() string { return filepath.Join(w.dir, "secret") }

func (w *world) startBackends(ctx context.Context) error {
	l := connector.List{Address: w.list}
	for _, s := range []string{ownerService, borrowerService} {
		for i := range executors {
			id := fmt.Sprintf("%s-%d", s, i+1)
			x := standin.NewExecutor(id, slots)
			a, err := w.serve(ctx, x)
			if err != nil {
				return err
			}
			w.executors[s] = append(w.executors[s], &executorNode{x, a})
			row := connector.ListedVM{ID: id, Role: connector.RoleExecutor, Service: s, Address: a, Zone: zone(i), Slots: slots}
			if err := l.Register(ctx, row); err != nil {
				return err
			}
		}
	}
	for i := range racks * workersPerRack {
		if err := w.startWorker(ctx, l, i); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startWorker(ctx context.Context, l connector.List, i int) error {
	id := fmt.Sprintf("worker-%d", i+1)
	t := leaser.Table{
		Worker: id, Rack: fmt.Sprintf("rack-%d", i/workersPerRack+1), Zone: zone(i),
		Capacity: placer.Resources{MilliCores: 32_000, MemoryMB: 128_000, Accelerators: accelerators},
	}
	k := standin.NewWorker(t)
	a, err := w.serve(ctx, k)
	if err != nil {
		return err
	}
	w.running.Go(func() { _ = k.Run(ctx) })
	w.workers[id], w.workerAddrs[id] = k, a
	return l.Register(ctx, connector.ListedVM{ID: id, Role: connector.RoleWorker, Address: a, Rack: t.Rack, Zone: t.Zone})
}

// serve serves a stand-in and returns its address.
func (w *world) serve(ctx context.Context, h http.Handler) (string, error) {
	s := &standin.Server{Address: loopback, Handler: h}
	if err := s.Listen(ctx); err != nil {
		return "", err
	}
	w.running.Go(func() { _ = s.Run(ctx) })
	return s.Address, nil
}

func (w *world) startVM(ctx context.Context, i int) error {
	v := &vm{id: fmt.Sprintf("entry-%d", i+1), ended: make(chan error, 1)}
	addresses := make(chan [2]string, 1)
	d := &server.Server{
		Settings: decoder.Settings{
			VM: v.id, Zone: zone(i),
			CallersAddress: loopback, PeersAddress: loopback,
			LogAddress: w.log, ListAddress: w.list, SecretFile: w.secretFile(),
			DrainTimeout: stepTimeout, Retention: time.Hour, AppendRate: 50,
			MaxRequests: 4096, MaxHeaderBytes: 16 << 10, OperatorHash: w.operatorHash,
		},
		Logger:  w.logger,
		Started: func(callers, peers string) { addresses <- [2]string{callers, peers} },
	}
	c, end := context.WithCancelCause(ctx)
	v.end = end
	w.running.Go(func() { v.ended <- d.Run(c) })
	select {
	case err := <-v.ended:
		return fmt.Errorf("start %s: %w", v.id, err)
	case a := <-addresses:
		v.callers = a[0]
		w.vms = append(w.vms, v)
		return connector.List{Address: w.list}.Register(ctx, connector.ListedVM{
			ID: v.id, Role: connector.RoleEntry, Address: a[1], Zone: zone(i),
		})
	}
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%entryVMs+1) }

// stop ends everything that still runs.
func (w *world) stop() {
	for _, v := range w.vms {
		v.end(server.ErrKilled)
	}
	if w.cancel != nil {
		w.cancel()
	}
	w.running.Wait()
	_ = os.RemoveAll(w.dir) // it holds a secret of no further use
}
