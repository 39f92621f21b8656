package cmd_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lacewingdoor/lacewingdoor/internal/cmd"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// TestFileCommands checks the output and exit codes of the commands for configuration
// files, also with unreachable or failing entry VMs. The scripts have these additional
// commands:
//
//	lacewingdoor CODE ARGUMENTS  run the command line and check its exit code
//	entry-vm MODE                start the configuration API of an entry VM at $SERVER
//	                             and a second one with the same state at $OTHER; MODE is
//	                             up, lost (responses to changes are lost), unreadable
//	                             (reads fail after a change), refusing, dies (at the
//	                             first change, after applying it) or dies-before (at the
//	                             first change, without applying it)
func TestFileCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/files",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"lacewingdoor": runCommand,
			"entry-vm":     startEntryVM,
		},
	})
}

func runCommand(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	commandLine := args[1:]
	for i, a := range commandLine {
		if strings.HasPrefix(a, "./") {
			commandLine[i] = ts.MkAbs(a)
		}
	}
	if got := cmd.Main(commandLine, ts.Stdout(), ts.Stderr()); got != want {
		ts.Fatalf("exit code is %d, want %d", got, want)
	}
}

// entryVM is the configuration API of an entry VM with an in-memory log.
type entryVM struct {
	mu     sync.Mutex
	state  publisher.State
	offset int64
	mode   string
}

func startEntryVM(ts *testscript.TestScript, _ bool, args []string) {
	e := &entryVM{state: publisher.New(), mode: args[0]}
	m := http.NewServeMux()
	m.HandleFunc("GET "+publisher.PathConfiguration, e.handleGet)
	m.HandleFunc("POST "+publisher.PathChanges, e.handleChange)
	m.HandleFunc("DELETE "+publisher.PathChanges+"/{id}", e.handleWithdraw)
	s, other := httptest.NewServer(e.dieOnChange(m)), httptest.NewServer(m)
	ts.Defer(s.Close)
	ts.Defer(other.Close)
	ts.Setenv("SERVER", strings.TrimPrefix(s.URL, "http://"))
	ts.Setenv("OTHER", strings.TrimPrefix(other.URL, "http://"))
}

// dieOnChange wraps a handler; in modes dies and dies-before it stops responding at the first change.
func (e *entryVM) dieOnChange(m http.Handler) http.Handler {
	var dead atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasPrefix(e.mode, "dies") {
			dead.Store(true)
			if e.mode == "dies" {
				m.ServeHTTP(httptest.NewRecorder(), r)
			}
		}
		if dead.Load() {
			panic(http.ErrAbortHandler)
		}
		m.ServeHTTP(w, r)
	})
}

func (e *entryVM) handleWithdraw(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offset++
	e.state, _ = publisher.Apply(e.state, e.offset, publisher.Withdrawal{ID: r.PathValue("id")})
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(publisher.ChangeResponse{Offset: e.offset})
}

func (e *entryVM) handleGet(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer key" {
		refuser.Write(w, refuser.NewNotRun(http.StatusForbidden, "not-operator", "the key is not an operator key"))
		return
	}
	if e.mode == "unreadable" && e.offset > 0 {
		refuser.Write(w, refuser.NewNotRun(http.StatusServiceUnavailable, "not-ready", "starting"))
		return
	}
	_ = json.NewEncoder(w).Encode(publisher.ConfigurationResponse{
		State: e.state, VMs: []publisher.VMRevision{{VM: "vm-1", Revision: e.state.Revision()}},
	})
}

func (e *entryVM) handleChange(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var c publisher.Change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || e.mode == "refusing" {
		refuser.Write(w, refuser.NewNotRun(http.StatusServiceUnavailable, "log-down", "the log is unavailable"))
		return
	}
	c.Publisher = "morfa"
	e.offset++
	e.state, _ = publisher.Apply(e.state, e.offset, c)
	if e.mode == "lost" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(publisher.ChangeResponse{Offset: e.offset})
}
