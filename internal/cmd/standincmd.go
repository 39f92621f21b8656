package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// StandinCmd runs a stand-in for a part of the platform.
type StandinCmd struct {
	Executor StandinExecutorCmd `cmd:"" help:"Run an executor."`
	Link     StandinLinkCmd     `cmd:"" help:"Run network links, each passing TCP connections on."`
	List     StandinListCmd     `cmd:"" help:"Run the list of VMs."`
	Log      StandinLogCmd      `cmd:"" help:"Run the log service."`
	Worker   StandinWorkerCmd   `cmd:"" help:"Run a worker."`
}

// standinReady is the line that a stand-in prints when it can be reached.
type standinReady struct {
	Role    string            `json:"role"`
	ID      string            `json:"id,omitempty"`
	Address string            `json:"address"`
	Routes  map[string]string `json:"routes,omitempty"` // where each listens, of a link
}

// standinListen is where a stand-in listens.
type standinListen struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on, HOST:PORT with an IP number; port 0 takes a free one."`
}

// standinListed is how a stand-in is listed.
type standinListed struct {
	ID   string `help:"Id of the VM." required:""`
	List string `help:"Address of the list to register at."`
	Zone string `default:"zone-a" help:"Availability zone."`
	Rack string `default:"rack-1" help:"Rack."`
}

// StandinLogCmd runs the log service.
type StandinLogCmd struct {
	standinListen

	KeepCount int   `help:"Newest records kept per stream; 0 keeps all."`
	KeepMS    int64 `help:"Milliseconds for which records are kept; 0 keeps them for ever." name:"keep-ms"`
}

// Run serves until a signal ends it.
func (s *StandinLogCmd) Run(c *Config) error {
	l := standin.NewLog()
	l.Keep(s.KeepCount, s.KeepMS)
	return runStandin(c, standinReady{Role: "log"}, s.Listen, l)
}

// StandinLinkCmd runs network links.
type StandinLinkCmd struct {
	standinListen

	Routes []string `arg:"" help:"Names of the routes; POST /control sets where each goes."`
}

// Run passes connections on until a signal ends it.
func (s *StandinLinkCmd) Run(c *Config) error {
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("address to listen on: %w", err)}
	}
	l, err := standin.NewLink(context.Background(), host, s.Routes)
	if err != nil {
		return err
	}
	run := func(ctx context.Context, _ string) error { return l.Run(ctx) }
	return runStandin(c, standinReady{Role: "link", Routes: l.Addresses()}, s.Listen, l, run)
}

// StandinListCmd runs the list of VMs.
type StandinListCmd struct {
	standinListen

	LagMS int64 `help:"Milliseconds until a change is seen." name:"lag-ms"`
}

// Run serves until a signal ends it.
func (s *StandinListCmd) Run(c *Config) error {
	l := standin.NewList()
	l.Lag(s.LagMS)
	return runStandin(c, standinReady{Role: "list"}, s.Listen, l)
}

// StandinWorkerCmd runs a worker.
type StandinWorkerCmd struct {
	standinListen
	standinListed

	MilliCores   int `default:"30000"  help:"Thousandths of a processor core."`
	MemoryMB     int `default:"130000" help:"Mebibytes of memory."                name:"memory-mb"`
	Accelerators int `default:"8"      help:"Accelerators."`
}

// Run serves until a signal ends it.
func (s *StandinWorkerCmd) Run(c *Config) error {
	w := standin.NewWorker(leaser.Table{
		Worker:   s.ID,
		Rack:     s.Rack,
		Zone:     s.Zone,
		Capacity: placer.Resources{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
	})
	v := connector.ListedVM{ID: s.ID, Role: connector.RoleWorker, Zone: s.Zone, Rack: s.Rack}
	run := func(ctx context.Context, _ string) error { return w.Run(ctx) }
	return runStandin(c, standinReady{Role: "worker", ID: s.ID}, s.Listen, w, run, s.register(v))
}

// StandinExecutorCmd runs an executor.
type StandinExecutorCmd struct {
	standinListen
	standinListed

	Service string `help:"Service whose requests it runs." required:""`
	Slots   int    `default:"8"                            help:"Requests run at once."`
}

// Run serves until a signal ends it.
func (s *StandinExecutorCmd) Run(c *Config) error {
	e := standin.NewExecutor(s.ID, s.Slots)
	v := connector.ListedVM{
		ID:      s.ID,
		Role:    connector.RoleExecutor,
		Service: s.Service,
		Zone:    s.Zone,
		Rack:    s.Rack,
		Slots:   s.Slots,
	}
	return runStandin(c, standinReady{Role: "executor", ID: s.ID}, s.Listen, e, s.register(v))
}

// register returns what keeps the stand-in on the list while the context lasts.
func (s *standinListed) register(v connector.ListedVM) func(context.Context, string) error {
	return func(ctx context.Context, address string) error {
		v.Address = address
		if s.List != "" {
			standin.Register(ctx, connector.List{Address: s.List}, v)
		}
		return nil
	}
}

// runStandin serves a stand-in, tells its address on standard output, and runs
// what else belongs to it, until SIGTERM or SIGINT.
func runStandin(
	c *Config,
	ready standinReady,
	listen string,
	h http.Handler,
	more ...func(ctx context.Context, address string) error,
) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &standin.Server{Address: listen, Handler: h}
	if err := s.Listen(ctx); err != nil {
		return fmt.Errorf("start %s: %w", ready.Role, err)
	}
	ready.Address = s.Address
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.Run(ctx) })
	for _, f := range more {
		g.Go(func() error { return f(ctx, s.Address) })
	}
	if err := json.NewEncoder(c.stdout).Encode(ready); err != nil {
		return fmt.Errorf("print address: %w", err)
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("run %s: %w", ready.Role, err)
	}
	return nil
}
