// Package cmd implements the command line of lacewingdoor, one file per command.
package cmd

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/alecthomas/kong"

	"github.com/lacewingdoor/lacewingdoor/internal/node/assembler"
)

// Exit codes of all commands except diff.
const (
	ExitOK      = 0 // success
	ExitFailed  = 1 // the command failed; the message gives the reason
	ExitUsage   = 2 // invalid command line, settings or files; nothing was attempted
	ExitUnknown = 3 // it is unknown whether the command took effect; the message says how to find out
)

// ExitError is an error with its own exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the underlying error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// Config is the command line; each command is a field.
type Config struct {
	Cancel   CancelCmd   `cmd:"" help:"Cancel a job."`
	Check    CheckCmd    `cmd:"" help:"Check configuration files without a server."`
	Demo     DemoCmd     `cmd:"" help:"Run the whole path in one process and check its promises."`
	Diff     DiffCmd     `cmd:"" help:"Show what publishing files would change. Exits with 0 for no difference, 1 for one, 2 for an error."`
	History  HistoryCmd  `cmd:"" help:"List the last changes of configuration."`
	Jobs     JobsCmd     `cmd:"" help:"List jobs."`
	Key      KeyCmd      `cmd:"" help:"Print a new bearer key and its hash."`
	Measure  MeasureCmd  `cmd:"" help:"Measure policies of placement in virtual time."`
	Publish  PublishCmd  `cmd:"" help:"Bring configuration files into force."`
	Rollback RollbackCmd `cmd:"" help:"Undo a change of configuration."`
	Schedule ScheduleCmd `cmd:"" help:"Run an entry VM on the users' platform; settings come from the file that LACEWINGDOOR_SETTINGS names."`
	Serve    ServeCmd    `cmd:"" help:"Run the entry daemon."`
	Standin  StandinCmd  `cmd:"" help:"Run a stand-in for a part of the platform." name:"stand-in"`
	Status   StatusCmd   `cmd:"" help:"Show what an entry VM says of itself."`
	Submit   SubmitCmd   `cmd:"" help:"Submit a job."`
	Version  VersionCmd  `cmd:"" help:"Print the version."`
	Why      WhyCmd      `cmd:"" help:"Explain why a job waits."`

	stdout io.Writer
	stderr io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	c := Config{stdout: stdout, stderr: stderr}
	exit := -1
	p, err := kong.New(&c,
		kong.Name("lacewingdoor"),
		kong.Description("Schedules requests and jobs for organisations that share backend servers."),
		kong.Writers(stdout, stderr),
		kong.Vars{"job_memory_mb": strconv.Itoa(assembler.DefaultJobMemoryMB)},
		kong.Exit(func(n int) { exit = n }),
	)
	if err != nil {
		fmt.Fprintf(stderr, "lacewingdoor: command line: %v\n", err)
		return ExitFailed
	}
	k, err := p.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(stderr, "lacewingdoor: %v\n", err)
		return ExitUsage
	}
	return report(stderr, k.Run(&c))
}

func report(stderr io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "lacewingdoor: %v\n", err)
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return ExitFailed
}
