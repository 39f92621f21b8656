package main_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// Limits of the daemon under attack, and the bounds of the tests. By default the heap may
// take 112 MiB of a VM with 128 MiB, so 16 MiB are left for the program and the kernel.
const (
	hostileServeHeapMB   = 64
	hostileServeMemoryMB = hostileServeHeapMB + 16
	hostileServeMaxFDs   = 300
	hostileStreams       = 100 // requests of one HTTP/2 connection
)

var serveCallerAttacks = []hostileAttack{
	{"connections-without-request", 400, func(net.Conn, int) error { return nil }},
	{"heads-without-end", 400, func(c net.Conn, _ int) error {
		return sendLines(c, "X-A: "+strings.Repeat("a", 8000)+"\r\n", 1_000_000)
	}},
	{"empty-lines", 400, sendEmptyLines},
	{"bodies-of-jobs", 200, func(c net.Conn, _ int) error { return sendJobBody(c, 1_000_000) }},
	{"responses-not-read", 400, func(c net.Conn, _ int) error { return sendManyRequests(c, "/-/status") }},
	{"responses-without-window", 400, func(c net.Conn, _ int) error { return sendStreams(c, hostileStreams, "/-/status") }},
	{"idle-streams", 400, func(c net.Conn, _ int) error { return sendStreams(c, 0, "") }},
}

var servePeerAttacks = []hostileAttack{
	{"connections-without-request", 400, func(net.Conn, int) error { return nil }},
	{"heads-without-end", 200, func(c net.Conn, _ int) error {
		return sendLines(c, "X-A: "+strings.Repeat("a", 8000)+"\r\n", 1_000_000)
	}},
	{"responses-not-read", 400, func(c net.Conn, _ int) error { return sendManyRequests(c, "/") }},
}

// Guards against clients that make the entry daemon exceed the memory or the descriptors of
// its VM, or that keep it from serving others.
func TestHostileClientsOfServe(t *testing.T) {
	for _, a := range serveCallerAttacks {
		t.Run("callers/"+a.name, func(t *testing.T) { runHostileServe(t, a, "callers") })
	}
	for _, a := range servePeerAttacks {
		t.Run("peers/"+a.name, func(t *testing.T) { runHostileServe(t, a, "peers") })
	}
}

// runHostileServe starts stand-ins of the log and the list and a daemon, and runs an attack
// on one of its listeners.
func runHostileServe(t *testing.T, a hostileAttack, listener string) {
	withHostileServe(t, func(settings string) { attackServe(t, settings, a, listener) })
}

// withHostileServe starts stand-ins of the log and the list, and calls a function with the
// settings of a daemon.
func withHostileServe(t *testing.T, do func(settings string)) {
	dir := t.TempDir()
	script := "start log stand-in log\nstart list stand-in list\nhostile\n"
	if err := os.WriteFile(filepath.Join(dir, "hostile.txtar"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	p := scriptParams(dir)
	p.Cmds["hostile"] = func(s *testscript.TestScript, _ bool, _ []string) {
		name := s.MkAbs(writeSettings(s, "e1", "zone-a", s.Getenv("log"), s.Getenv("list"), false))
		b, err := os.ReadFile(name)
		s.Check(err)
		s.Check(os.WriteFile(name, fmt.Appendf(b, "[limits]\nmemory-mb = %d\n", hostileServeHeapMB), 0o600))
		do(name)
	}
	testscript.RunT(hostileT{t}, p)
}

// hostileT runs a script as a part of the test itself and not in parallel with others.
type hostileT struct{ *testing.T }

func (t hostileT) Run(_ string, f func(testscript.T)) { f(t) }
func (hostileT) Parallel()                            {}
func (hostileT) Verbose() bool                        { return false }

// startHostileServe starts a daemon and returns its process and addresses.
func startHostileServe(t *testing.T, settings string) (p *exec.Cmd, exited chan struct{}, addresses map[string]string) {
	p = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s serve --settings %s", hostileServeMaxFDs, hostileProgram(t), settings))
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // for the same reason as in startProcess
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	exited = make(chan struct{})
	startHostile(t, p, exited)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(line), &addresses); err != nil {
		t.Fatal(err)
	}
	return p, exited, addresses
}

func attackServe(t *testing.T, settings string, a hostileAttack, listener string) {
	p, exited, addresses := startHostileServe(t, settings)
	status := func() bool { return hostileStatus(addresses["callers"]) == http.StatusOK }
	waitUntilHostile(t, exited, "the status is answered", status)
	closeClients := watchHostile(t, p.Process.Pid, a, addresses[listener], hostileServeMemoryMB, hostileServeMaxFDs)
	defer closeClients()
	waitUntilHostile(t, exited, "the status is answered during the attack", status)
	waitUntilHostile(t, exited, "other VMs are answered", func() bool {
		return hostileAnswers(addresses["peers"])
	})
}

// sendStreams sends requests on one HTTP/2 connection and grants no window for the responses, so
// that their heads are the last that can be sent. It reads what arrives.
func sendStreams(c net.Conn, n int, path string) error {
	if _, err := c.Write([]byte(http2.ClientPreface)); err != nil {
		return err
	}
	f := http2.NewFramer(c, c)
	if err := f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}); err != nil {
		return err
	}
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	for i := range n {
		block.Reset()
		for _, h := range []hpack.HeaderField{
			{Name: ":method", Value: http.MethodGet},
			{Name: ":scheme", Value: "http"},
			{Name: ":authority", Value: "vm"},
			{Name: ":path", Value: path},
			{Name: "authorization", Value: "Bearer " + operatorKey},
		} {
			if err := e.WriteField(h); err != nil {
				return err
			}
		}
		if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true}); err != nil {
			return err
		}
	}
	for {
		if _, err := f.ReadFrame(); err != nil {
			return err
		}
	}
}

// hostileStatus returns the status code of the daemon's status call, 0 without a response.
func hostileStatus(address string) int {
	q, _ := http.NewRequest(http.MethodGet, "http://"+address+"/-/status", nil)
	q.Header.Set("Authorization", "Bearer "+operatorKey)
	q.Close = true
	a, err := soakClient.Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// hostileAnswers reports whether a new connection to an address gets any HTTP response.
func hostileAnswers(address string) bool {
	c, err := net.DialTimeout("tcp", address, hostileClientTime)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(hostileClientTime))
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: vm\r\n\r\n"))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.HasPrefix(line, "HTTP/1.1 ")
}

// sendJobBody sends the body of a job without its last bytes.
func sendJobBody(c net.Conn, size int) error {
	if _, err := fmt.Fprintf(c, "POST /-/jobs HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n{\"id\":\"", operatorKey, size); err != nil {
		return err
	}
	_, err := c.Write([]byte(strings.Repeat("p", size-hostileMissing-len(`{"id":"`))))
	return err
}

// Guards against accepted jobs, each of legal size, that together exceed the memory of the daemon.
func TestHostileJobsOfServe(t *testing.T) {
	const clients, jobs, payload = 20, 100, 200_000
	withHostileServe(t, func(settings string) {
		p, exited, addresses := startHostileServe(t, settings)
		call := func(path, key string, body any) int {
			b, err := json.Marshal(body)
			if err != nil {
				t.Fatal(err)
			}
			q, _ := http.NewRequest(http.MethodPost, "http://"+addresses["callers"]+path, bytes.NewReader(b))
			q.Header.Set("Authorization", "Bearer "+key)
			a, err := soakClient.Do(q)
			if err != nil {
				return 0
			}
			defer func() { _ = a.Body.Close() }()
			return a.StatusCode
		}
		hash := sha256.Sum256([]byte(callerKey))
		change := publisher.Change{ID: "c", Created: time.Now(), Files: []publisher.FileChange{{Name: "o.toml", Content: fmt.Sprintf(
			"[organisation.o]\nkey-hashes = [%q]\n[service.s]\norganisation = \"o\"\n[service.s.job]\ntasks = 1\naccelerators = 1\n", hex.EncodeToString(hash[:]))}}}
		waitUntilHostile(t, exited, "the configuration is published", func() bool { return call(publisher.PathChanges, operatorKey, change) < http.StatusBadRequest })
		job := func(id string) responder.JobRequest {
			return responder.JobRequest{ID: id, Service: "s", Payload: strings.Repeat("p", payload)}
		}
		check := sampleHostile(t, p.Process.Pid, addresses["callers"], hostileServeMemoryMB, hostileServeMaxFDs)
		var group sync.WaitGroup
		var mu sync.Mutex
		answers := map[int]int{}
		end := time.Now().Add(hostileJobTime)
		for i := range clients {
			group.Go(func() {
				for n := 0; n < jobs && time.Now().Before(end); n++ {
					status := call("/-/jobs", callerKey, job(fmt.Sprintf("job-%d-%d", i, n)))
					mu.Lock()
					answers[status]++
					mu.Unlock()
				}
			})
		}
		group.Wait()
		check()
		t.Logf("answers by status: %v", answers)
		waitUntilHostile(t, exited, "the status is answered", func() bool { return hostileStatus(addresses["callers"]) == http.StatusOK })
	})
}
