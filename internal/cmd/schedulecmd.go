package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/node/assembler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/logger"
	"github.com/lacewingdoor/lacewingdoor/platform"
)

// ScheduleCmd runs an entry VM on the users' platform.
type ScheduleCmd struct {
	Check       bool `help:"Check the settings and exit."`
	JobMemoryMB int  `name:"job-memory-mb" help:"Memory in MB that accepted jobs may take on each entry VM. Must be the same on all VMs." default:"${job_memory_mb}"`
}

// Validate checks the flags.
func (s *ScheduleCmd) Validate() error {
	if s.JobMemoryMB < 1 {
		return fmt.Errorf("--job-memory-mb is %d, want at least 1", s.JobMemoryMB)
	}
	return nil
}

const heapPercent = 70 // percent of the VM's memory available to the heap; the rest is for kernel buffers

// Run serves until SIGTERM or SIGINT, then shuts down gracefully.
func (s *ScheduleCmd) Run(c *Config) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	if s.Check {
		fmt.Fprintf(c.stdout, "settings of VM %s are valid\n", settings.VM)
		return nil
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * heapPercent / 100)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := logger.New(c.stdout)
	defer out.Close()
	log := out.JSON()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			_, err := platform.ReadSettings()
			log.WithField("step", "reload").WithField("vm", settings.VM).WithField("error", err).
				Info("settings file checked after SIGHUP; changes take effect at the next restart")
		}
	}()
	a := assembler.Assembler{Settings: settings, Logger: log, Dropped: out.Dropped, Now: time.Now, JobMemoryMB: s.JobMemoryMB}
	if err := a.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("schedule on VM %s: %w", settings.VM, err)
	}
	return nil
}
