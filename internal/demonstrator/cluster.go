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

// loopback has port 0, so that the system chooses a free port.
const loopback = "127.0.0.1:0"

// cluster holds the stand-ins and entry VMs, and the results of calls and jobs.
type cluster struct {
	logger    *logrus.Logger
	client    *http.Client
	secretDir string

	cancel context.CancelFunc
	wg     sync.WaitGroup

	logAddress, listAddress string
	executors               map[string][]*executorNode
	workers                 map[string]*standin.Worker
	workerAddresses         map[string]string
	vms                     []*vm

	operatorKey, operatorHash string
	keys, hashes              map[string]string // by organisation

	mu    sync.Mutex
	calls []callResult
	jobs  []jobResult
}

// executorNode is an executor and its address.
type executorNode struct {
	executor *standin.Executor
	address  string
}

// vm is an entry VM.
type vm struct {
	id      string
	address string // for callers
	cancel  context.CancelCauseFunc
	exited  chan error
	stopped bool
}

func newCluster(l *logrus.Logger) *cluster {
	return &cluster{
		logger:          l,
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		executors:       map[string][]*executorNode{},
		workers:         map[string]*standin.Worker{},
		workerAddresses: map[string]string{},
		keys:            map[string]string{},
		hashes:          map[string]string{},
	}
}

// startCluster starts the stand-ins of the platform and the entry VMs.
func startCluster(ctx context.Context, w *cluster, _ *Report) error {
	ctx, w.cancel = context.WithCancel(ctx)
	if err := w.makeKeys(); err != nil {
		return err
	}
	var err error
	if w.logAddress, err = w.serve(ctx, standin.NewLog()); err != nil {
		return err
	}
	if w.listAddress, err = w.serve(ctx, standin.NewList()); err != nil {
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
	return waitUntil(ctx, "every entry VM is ready and one is the leader", func() (bool, error) {
		all, err := w.statuses(ctx)
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

// makeKeys creates the keys of operators and organisations, and the shared secret
// of the entry VMs.
func (w *cluster) makeKeys() error {
	var err error
	if w.operatorKey, w.operatorHash, err = authenticator.NewKey(); err != nil {
		return err
	}
	for _, o := range []string{owner, borrower} {
		if w.keys[o], w.hashes[o], err = authenticator.NewKey(); err != nil {
			return err
		}
	}
	if w.secretDir, err = os.MkdirTemp("", "lacewingdoor-demo"); err != nil {
		return fmt.Errorf("create a directory for the secret: %w", err)
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

func (w *cluster) secretFile() string { return filepath.Join(w.secretDir, "secret") }

func (w *cluster) startBackends(ctx context.Context) error {
	l := connector.List{Address: w.listAddress}
	for _, s := range []string{ownerService, borrowerService} {
		for i := range executors {
			id := fmt.Sprintf("%s-%d", s, i+1)
			x := standin.NewExecutor(id, slots)
			a, err := w.serve(ctx, x)
			if err != nil {
				return err
			}
			w.executors[s] = append(w.executors[s], &executorNode{x, a})
			row := connector.ListedVM{ID: id, Role: connector.RoleExecutor, Service: s, Address: a, Zone: zoneName(i), Slots: slots}
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

func (w *cluster) startWorker(ctx context.Context, l connector.List, i int) error {
	id := fmt.Sprintf("worker-%d", i+1)
	t := leaser.Table{
		Worker: id, Rack: fmt.Sprintf("rack-%d", i/workersPerRack+1), Zone: zoneName(i),
		Capacity: placer.Resources{MilliCores: 32_000, MemoryMB: 128_000, Accelerators: accelerators},
	}
	k := standin.NewWorker(t)
	a, err := w.serve(ctx, k)
	if err != nil {
		return err
	}
	w.wg.Go(func() { _ = k.Run(ctx) })
	w.workers[id], w.workerAddresses[id] = k, a
	return l.Register(ctx, connector.ListedVM{ID: id, Role: connector.RoleWorker, Address: a, Rack: t.Rack, Zone: t.Zone})
}

// serve serves a stand-in and returns its address.
func (w *cluster) serve(ctx context.Context, h http.Handler) (string, error) {
	s := &standin.Server{Address: loopback, Handler: h}
	if err := s.Listen(ctx); err != nil {
		return "", err
	}
	w.wg.Go(func() { _ = s.Run(ctx) })
	return s.Address, nil
}

func (w *cluster) startVM(ctx context.Context, i int) error {
	v := &vm{id: fmt.Sprintf("entry-%d", i+1), exited: make(chan error, 1)}
	addresses := make(chan [2]string, 1)
	d := &server.Server{
		Settings: decoder.Settings{
			VM: v.id, Zone: zoneName(i),
			CallersAddress: loopback, PeersAddress: loopback,
			LogAddress: w.logAddress, ListAddress: w.listAddress, SecretFile: w.secretFile(),
			DrainTimeout: stepTimeout, Retention: time.Hour, AppendRate: 50,
			MaxRequests: 4096, MaxHeaderBytes: 16 << 10, OperatorHash: w.operatorHash,
		},
		Logger:  w.logger,
		Started: func(callers, peers string) { addresses <- [2]string{callers, peers} },
	}
	c, cancel := context.WithCancelCause(ctx)
	v.cancel = cancel
	w.wg.Go(func() { v.exited <- d.Run(c) })
	select {
	case err := <-v.exited:
		return fmt.Errorf("start %s: %w", v.id, err)
	case a := <-addresses:
		v.address = a[0]
		w.vms = append(w.vms, v)
		return connector.List{Address: w.listAddress}.Register(ctx, connector.ListedVM{
			ID: v.id, Role: connector.RoleEntry, Address: a[1], Zone: zoneName(i),
		})
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%entryVMs+1) }

// stop stops everything that still runs.
func (w *cluster) stop() {
	for _, v := range w.vms {
		v.cancel(server.ErrKilled)
	}
	if w.cancel != nil {
		w.cancel()
	}
	w.wg.Wait()
	_ = os.RemoveAll(w.secretDir) // best effort: the secret in it is no longer used
}
