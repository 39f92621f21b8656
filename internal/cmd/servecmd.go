package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/server"
)

// ServeCmd runs the entry daemon.
type ServeCmd struct {
	Settings string `help:"Settings file; docs/SETTINGS.md lists the keys." required:"" type:"path"`
}

// startupLine is the JSON line with the addresses in use, printed once the daemon listens.
type startupLine struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully.
func (s *ServeCmd) Run(c *Config) error {
	settings, err := readSettings(s.Settings)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	const bytesPerMiB = 1 << 20
	debug.SetMemoryLimit(int64(settings.MemoryMB) * bytesPerMiB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := server.Server{
		Settings: settings,
		Logger:   newLogger(c.stderr, settings.LogLevel),
		Started: func(callers, peers string) {
			_ = json.NewEncoder(c.stdout).Encode(startupLine{callers, peers}) // a failed write cannot be reported
		},
	}
	if err := d.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("serve VM %s: %w", settings.VM, err)
	}
	return nil
}

// readSettings reads and validates a settings file. A relative path of the secret file
// is resolved against the directory of the settings file.
func readSettings(name string) (decoder.Settings, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return decoder.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := decoder.DecodeSettings(decoder.File{Name: name, Content: string(b)})
	if err != nil {
		return s, err
	}
	if !filepath.IsAbs(s.SecretFile) {
		s.SecretFile = filepath.Join(filepath.Dir(name), s.SecretFile)
	}
	return s, nil
}

func newLogger(w io.Writer, level string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}
