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

// standinReady is the JSON line that a stand-in prints once it listens.
type standinReady struct {
	Role    string            `json:"role"`
	ID      string            `json:"id,omitempty"`
	Address string            `json:"address"`
	Routes  map[string]string `json:"routes,omitempty"` // listen address of each route of a link
}

// standinListenFlags sets the listen address of a stand-in.
type standinListenFlags struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on, HOST:PORT with an IP number; port 0 takes a free one."`
}

// standinVMFlags sets the entry of a stand-in in the list of VMs.
type standinVMFlags struct {
	ID   string `help:"Id of the VM." required:""`
	List string `help:"Address of the list to register at."`
	Zone string `default:"zone-a" help:"Availability zone."`
	Rack string `default:"rack-1" help:"Rack."`
}

// StandinLogCmd runs the log service.
type StandinLogCmd struct {
	standinListenFlags

	KeepCount int   `help:"Newest records kept per stream; 0 keeps all."`
	KeepMS    int64 `help:"Milliseconds for which records are kept; 0 keeps them for ever." name:"keep-ms"`
}

// Run serves until SIGTERM or SIGINT.
func (s *StandinLogCmd) Run(c *Config) error {
	l := standin.NewLog()
	l.SetRetention(s.KeepCount, s.KeepMS)
	return runStandin(c, standinReady{Role: "log"}, s.Listen, l)
}

// StandinLinkCmd runs network links.
type StandinLinkCmd struct {
	standinListenFlags

	Routes []string `arg:"" help:"Names of the routes; POST /control sets where each goes."`
}

// Run forwards connections until SIGTERM or SIGINT.
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
	standinListenFlags

	LagMS int64 `help:"Milliseconds until a change is seen." name:"lag-ms"`
}

// Run serves until SIGTERM or SIGINT.
func (s *StandinListCmd) Run(c *Config) error {
	l := standin.NewList()
	l.SetLag(s.LagMS)
	return runStandin(c, standinReady{Role: "list"}, s.Listen, l)
}

// StandinWorkerCmd runs a worker.
type StandinWorkerCmd struct {
	standinListenFlags
	standinVMFlags

	MilliCores   int `default:"30000"  help:"Thousandths of a processor core."`
	MemoryMB     int `default:"130000" help:"Mebibytes of memory."                name:"memory-mb"`
	Accelerators int `default:"8"      help:"Accelerators."`
}

// Run serves until SIGTERM or SIGINT.
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
	standinListenFlags
	standinVMFlags

	Service string `help:"Service whose requests it runs." required:""`
	Slots   int    `default:"8"                            help:"Requests run at once."`
}

// Run serves until SIGTERM or SIGINT.
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

// register returns a function that keeps the stand-in registered with the list until ctx ends.
func (s *standinVMFlags) register(v connector.ListedVM) func(context.Context, string) error {
	return func(ctx context.Context, address string) error {
		v.Address = address
		if s.List != "" {
			standin.Register(ctx, connector.List{Address: s.List}, v)
		}
		return nil
	}
}

// runStandin serves a stand-in, prints its address on standard output and runs the
// given background functions, until SIGTERM or SIGINT.
func runStandin(
	c *Config,
	ready standinReady,
	listen string,
	h http.Handler,
	background ...func(ctx context.Context, address string) error,
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
	for _, f := range background {
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
