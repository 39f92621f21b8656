package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

// Limits in the settings of the entry VM under attack. They are the bounds of the tests.
const (
	hostileMemoryMB = 96
	hostileMaxFDs   = 500
	hostileMaxBody  = 262_144 // bytes, limits.maxBodyBytes of the configuration
	hostileFillers  = 150     // records that other VMs read, 30 MB together
	hostileFiller   = 200_000 // bytes of one
	hostileMissing  = 19      // bytes by which an unfinished body is short
)

// hostileOtherKey is the key of an organisation that does not take part in attacks.
const hostileOtherKey = "key-of-another-organisation"

// Times of the clients; no check depends on them.
const (
	hostileClientTime = 6 * time.Second       // after which a client stops sending and holds its connection
	hostileHold       = 2 * time.Second       // for which all connections are held while the process is watched
	hostileSample     = 50 * time.Millisecond // between two readings of the process's memory and descriptors
)

// hostileAttack is one kind of attack: a number of clients that each use one connection and
// then hold it open.
type hostileAttack struct {
	name    string
	clients int
	send    func(c net.Conn, i int) error
}

// callerAttacks are the attacks on the listener for callers.
var callerAttacks = []hostileAttack{
	{"bodies-sent-whole", 400, func(c net.Conn, i int) error { return sendBody(c, i, hostileMaxBody, 0) }},
	{"bodies-sent-in-pieces", 400, func(c net.Conn, i int) error { return sendBody(c, i, 8192, 5*time.Millisecond) }},
	{"bodies-never-begun", 600, func(c net.Conn, i int) error { return sendHead(c, i, "Content-Length: "+strconv.Itoa(hostileMaxBody)) }},
	{"bodies-without-key", 600, func(c net.Conn, _ int) error {
		_, err := c.Write([]byte("POST /slow/00000000000000a1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 200000\r\n\r\nx"))
		return err
	}},
	{"large-chunks", 400, func(c net.Conn, i int) error { return sendChunks(c, i, 65_536) }},
	{"small-chunks", 400, func(c net.Conn, i int) error { return sendChunks(c, i, 2) }},
	{"bodies-of-many-steps", 200, sendSteps},
	{"heads-without-end", 300, func(c net.Conn, _ int) error {
		return sendLines(c, "X-A: "+strings.Repeat("a", 8000)+"\r\n", 1_000_000)
	}},
	{"heads-over-limit", 300, func(c net.Conn, _ int) error {
		return sendLines(c, "X-A: "+strings.Repeat("a", 8000)+"\r\n", 3_000_000)
	}},
	{"heads-of-many-lines", 100, func(c net.Conn, _ int) error { return sendLines(c, "", 1_000_000) }},
	{"empty-lines", 600, sendEmptyLines},
	{"connections-without-request", 600, func(net.Conn, int) error { return nil }},
	{"responses-not-read", 600, func(c net.Conn, _ int) error { return sendManyRequests(c, "/slow/") }},
}

// otherAttacks are the attacks on the listeners that do not serve callers.
var otherAttacks = []hostileAttack{
	{"connections-without-request", 600, func(net.Conn, int) error { return nil }},
	{"heads-without-end", 300, func(c net.Conn, _ int) error {
		return sendLines(c, "X-A: "+strings.Repeat("a", 8000)+"\r\n", 1_000_000)
	}},
	{"bodies-of-other-vms", 60, func(c net.Conn, _ int) error { return sendPeerBody(c, 4_000_000) }},
	{"responses-not-read", 600, func(c net.Conn, _ int) error { return sendManyRequests(c, "/metrics") }},
}

// Guards against callers that make an entry VM exceed the memory or the descriptors of its
// VM, or that keep it from serving others.
func TestHostileCallers(t *testing.T) {
	for _, a := range callerAttacks {
		t.Run(a.name, func(t *testing.T) {
			v := startHostileVM(t)
			v.attack(a, v.callers)
		})
	}
}

// Guards against the same through the listeners for readiness checks, other VMs and metrics.
func TestHostileClientsOfOtherListeners(t *testing.T) {
	for _, listener := range []string{"readiness", "other-vms", "metrics"} {
		for _, a := range otherAttacks {
			t.Run(listener+"/"+a.name, func(t *testing.T) {
				v := startHostileVM(t)
				v.attack(a, map[string]string{"readiness": v.readiness, "other-vms": v.peers, "metrics": v.metrics}[listener])
			})
		}
	}
}

// Guards against calls of other VMs that are answered with whole pages or snapshots of the store,
// which are held while the client does not read them.
func TestHostileReadsOfOtherVMs(t *testing.T) {
	for _, a := range []hostileAttack{
		{"pages-not-read", 600, func(c net.Conn, _ int) error {
			return sendPeerRead(c, "/store/read", `{"topic":"keyed.filler","from":0}`)
		}},
		{"snapshots-not-read", 600, func(c net.Conn, _ int) error {
			return sendPeerRead(c, "/store/newest", `{"topic":"keyed.filler"}`)
		}},
		{"pages-of-snapshots-not-read", 600, func(c net.Conn, _ int) error {
			return sendPeerRead(c, "/store/newest", `{"topic":"keyed.filler","paged":true}`)
		}},
	} {
		t.Run(a.name, func(t *testing.T) {
			store := platformstandin.NewStore()
			for i := range hostileFillers {
				store.Put("keyed.filler", strconv.Itoa(i), bytes.Repeat([]byte("f"), hostileFiller))
			}
			v := startVMOfStore(t, "vm0", store, smallestMemoryMB, smallestMaxFDs)
			v.attack(a, v.peers)
		})
	}
}

// Guards against accepted jobs that together exceed the memory of a VM.
func TestHostileAcceptedJobs(t *testing.T) {
	v := startHostileVM(t)
	v.attack(hostileAttack{"jobs-of-largest-size", 400, sendLargeJob}, v.callers)
}

// Guards against limits that ordinary callers reach: on the smallest VM each of 200 that call
// at the same time, some with bodies of the largest legal size, is answered by each request.
func TestOrdinaryCallersAreServed(t *testing.T) {
	const callers, requests, largeEach = 200, 3, 10
	v := startLimitedVM(t, 144, 3075)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			body := platformstandin.Job("10ms", 1, false)
			if i%largeEach == 0 {
				body = string(legalBody())
			}
			for k := range requests {
				path := fmt.Sprintf("/slow/%016x", i*requests+k+1)
				if status, answer := platformstandin.Call(client, http.MethodPost, v.callers, path, platformstandin.Key, body); status != http.StatusOK {
					t.Errorf("caller %d got %d: %s", i, status, answer)
				}
			}
		})
	}
	wait.Wait()
}

// hostileProgram builds the program without the race detector, which multiplies its memory,
// and returns its path.
func hostileProgram(t *testing.T) string {
	name := filepath.Join(t.TempDir(), "lacewingdoor")
	if out, err := exec.Command("go", "build", "-race=false", "-o", name, ".").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	return name
}

// hostileVM is the entry VM under attack.
type hostileVM struct {
	t                                  *testing.T
	callers, readiness, peers, metrics string
	memoryMB, maxFDs                   int
	process                            *exec.Cmd
	proxy                              *platformstandin.StoreProxy // its access to the store
	exited                             chan struct{}
}

func startHostileVM(t *testing.T) *hostileVM {
	return startLimitedVM(t, hostileMemoryMB, hostileMaxFDs)
}

// startLimitedVM starts an entry VM with the given limits.
func startLimitedVM(t *testing.T, memoryMB, maxFDs int) *hostileVM {
	return startVMOfStore(t, "vm0", platformstandin.NewStore(), memoryMB, maxFDs)
}

// hostileConfiguration returns a configuration with the largest legal bodies and two organisations.
func hostileConfiguration() []byte {
	b := bytes.Replace(platformstandin.Configuration(1, platformstandin.Key),
		[]byte(`"maxBodyBytes":10000`), fmt.Appendf(nil, `"maxBodyBytes":%d`, hostileMaxBody), 1)
	return withOtherOrganisation(b)
}

// withOtherOrganisation adds an organisation to a configuration.
func withOtherOrganisation(config []byte) []byte {
	return bytes.Replace(config, []byte(`"tenants":[`), fmt.Appendf(nil, `"tenants":[{"name":"other","apiKeys":[%q],"guaranteed":{"gpu":8}},`, hostileOtherKey), 1)
}

// startVMOfStore starts an entry VM that uses a store.
func startVMOfStore(t *testing.T, vm string, store *platformstandin.Store, memoryMB, maxFDs int) *hostileVM {
	if store.Get("keyed.op", "config") == nil {
		store.Put("keyed.op", "config", hostileConfiguration())
	}
	proxy := &platformstandin.StoreProxy{Store: store}
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	v := &hostileVM{t: t, proxy: proxy, memoryMB: memoryMB, maxFDs: maxFDs, callers: freeAddress(t), readiness: freeAddress(t), peers: freeAddress(t), metrics: freeAddress(t), exited: make(chan struct{})}
	b, err := platformstandin.SettingsFile(vm, server.Listener.Addr().String(), v.callers, v.readiness, v.peers, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	settings := map[string]any{}
	if err := json.Unmarshal(b, &settings); err != nil {
		t.Fatal(err)
	}
	ip, port, _ := net.SplitHostPort(v.metrics)
	n, _ := strconv.Atoi(port)
	settings["ip"], settings["internalPorts"] = ip, []int{n, n}
	settings["limits"] = map[string]any{"memoryMb": memoryMB, "maxFds": maxFDs, "cpuShare": 1}
	b, _ = json.Marshal(settings)
	name := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	v.process = exec.Command(hostileProgram(t), "schedule")
	v.process.Env = append(os.Environ(), "LACEWINGDOOR_SETTINGS="+name)
	v.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // for the same reason as in startProcess
	startHostile(t, v.process, v.exited)
	v.waitUntil("the VM is ready", func() bool {
		return soakCall(http.MethodGet, v.readiness, "/ready", "").status == http.StatusOK
	})
	return v
}

// startHostile starts a process and ends it with the test.
func startHostile(t *testing.T, p *exec.Cmd, exited chan struct{}) {
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Wait(); close(exited) }()
	t.Cleanup(func() { _ = p.Process.Kill(); <-exited })
}

func (v *hostileVM) waitUntil(what string, f func() bool) {
	waitUntilHostile(v.t, v.exited, what, f)
}

func waitUntilHostile(t *testing.T, exited chan struct{}, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(hostileSample) {
		select {
		case <-exited:
			t.Fatalf("the process has ended while waiting until %s", what)
		default:
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// attack runs an attack on one listener and checks the process. The clients hold their
// connections until the ordinary requests are answered.
func (v *hostileVM) attack(a hostileAttack, address string) {
	closeClients := watchHostile(v.t, v.process.Process.Pid, a, address, v.memoryMB, v.maxFDs)
	defer closeClients()
	v.waitUntil("an ordinary job is accepted", func() bool {
		return soakCall(http.MethodPost, v.callers, "/fast/00000000000000ff", platformstandin.Job("10ms", 1, false)).status == http.StatusOK
	})
	v.waitUntil("the VM is ready", func() bool {
		return soakCall(http.MethodGet, v.readiness, "/ready", "").status == http.StatusOK
	})
	v.waitUntil("metrics are served", func() bool {
		return soakCall(http.MethodGet, v.metrics, "/metrics", "").status == http.StatusOK
	})
}

// watchHostile runs the clients of an attack and checks that the process's memory and
// descriptors stay within the limits. Bytes that the process has not read count as its
// memory. The returned function closes the clients' connections.
func watchHostile(t *testing.T, pid int, a hostileAttack, address string, memoryMB, maxFDs int) func() {
	check := sampleHostile(t, pid, address, memoryMB, maxFDs)
	var clients sync.WaitGroup
	conns := make([]net.Conn, a.clients)
	for i := range conns {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", address, hostileClientTime)
			if err != nil {
				return
			}
			conns[i] = c
			_ = c.SetDeadline(time.Now().Add(hostileClientTime))
			_ = a.send(c, i) // refusing or closing the connection is allowed
		})
	}
	clients.Wait()
	time.Sleep(hostileHold)
	check()
	return func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// sampleHostile watches the memory and the descriptors of a process. The returned function ends
// that and checks that both have stayed within the limits.
func sampleHostile(t *testing.T, pid int, address string, memoryMB, maxFDs int) func() {
	ctx, stop := context.WithCancel(context.Background())
	var peakMemory, peakFDs int
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for ctx.Err() == nil {
			peakMemory = max(peakMemory, residentKB(pid, "VmRSS:")+unreadKB(address))
			peakFDs = max(peakFDs, descriptors(pid))
			time.Sleep(hostileSample)
		}
	})
	return func() {
		t.Helper()
		stop()
		sampler.Wait()
		peakMemory = max(peakMemory, residentKB(pid, "VmHWM:"))
		t.Logf("peak memory %d KB of %d, descriptors %d of %d", peakMemory, memoryMB<<10, peakFDs, maxFDs)
		if peakMemory > memoryMB<<10 {
			t.Errorf("resident memory and unread bytes reached %d KB, limit %d KB", peakMemory, memoryMB<<10)
		}
		if peakFDs >= maxFDs {
			t.Errorf("the process used up its descriptors: %d open, limit %d", peakFDs, maxFDs)
		}
	}
}

// residentKB returns a field of /proc/PID/status.
func residentKB(pid int, field string) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == field {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

func descriptors(pid int) int {
	d, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(d)
}

// unreadKB returns the bytes that the kernel holds for connections to an address.
func unreadKB(address string) int {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", n)
	b, _ := os.ReadFile("/proc/self/net/tcp")
	var sum int64
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line) // number, local address, remote address, state, tx_queue:rx_queue
		if len(f) < 5 || !strings.HasSuffix(f[1], suffix) || f[3] != "01" {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		k, _ := strconv.ParseInt(unread, 16, 64)
		sum += k
	}
	return int(sum >> 10)
}

func sendHead(c net.Conn, i int, headers string) error {
	_, err := fmt.Fprintf(c, "POST /slow/%016x HTTP/1.1\r\nHost: %s\r\nX-Lacewingdoor-Credential: %s\r\n%s\r\n\r\n",
		i+1, platformstandin.Host, platformstandin.Key, headers)
	return err
}

// legalBody returns a job of the largest legal size. The padding is a field that no decoder uses.
func legalBody() []byte {
	job := platformstandin.Job("10ms", 1, false)
	const field = `,"padding":""}`
	padding := hostileMaxBody - len(job) + 1 - len(field)
	return []byte(job[:len(job)-1] + `,"padding":"` + strings.Repeat("p", padding) + `"}`)
}

// sendBody sends a body of the largest legal size in pieces. Each tenth client ends it, the
// others stop shortly before its end.
func sendBody(c net.Conn, i, piece int, pause time.Duration) error {
	b := legalBody()
	if err := sendHead(c, i, "Content-Length: "+strconv.Itoa(len(b))); err != nil {
		return err
	}
	if i%10 > 0 {
		b = b[:len(b)-hostileMissing]
	}
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(pause)
	}
	return nil
}

// sendLargeJob submits a job whose spec takes the largest legal size.
func sendLargeJob(c net.Conn, i int) error {
	spec := strings.Repeat("s", hostileMaxBody-len(platformstandin.Job("", 1, false)))
	b := platformstandin.Job(spec, 1, false)
	if err := sendHead(c, i, "Content-Length: "+strconv.Itoa(len(b))); err != nil {
		return err
	}
	if _, err := c.Write([]byte(b)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1)) // the connection stays open until the response
	return err
}

// sendChunks sends a chunked body of the largest legal size without its last bytes.
func sendChunks(c net.Conn, i, size int) error {
	if err := sendHead(c, i, "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	w := bufio.NewWriterSize(c, 16<<10)
	for b := legalBody()[:hostileMaxBody-hostileMissing]; len(b) > 0; {
		n := min(size, len(b))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return w.Flush()
}

// sendSteps sends a whole body of legal size that lists as many steps as fit.
func sendSteps(c net.Conn, i int) error {
	b := []byte(`{"spec":"10ms","steps":[{}` + strings.Repeat(`,{}`, hostileMaxBody/3-20) + `]}`)
	if err := sendHead(c, i, "Content-Length: "+strconv.Itoa(len(b))); err != nil {
		return err
	}
	if _, err := c.Write(b); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1)) // the connection stays open until the response
	return err
}

// sendLines sends a request's head of at least total bytes that does not end. Without a
// line it sends short lines that all differ.
func sendLines(c net.Conn, line string, total int) error {
	w := bufio.NewWriterSize(c, 16<<10)
	if _, err := fmt.Fprintf(w, "GET /slow/ HTTP/1.1\r\nHost: %s\r\n", platformstandin.Host); err != nil {
		return err
	}
	for n, i := 0, 0; n < total-len(line); i++ {
		l := line
		if l == "" {
			l = strconv.FormatInt(int64(i), 36) + ":\r\n"
		}
		k, err := w.WriteString(l)
		if err != nil {
			return err
		}
		n += k
	}
	return w.Flush()
}

// sendEmptyLines sends empty lines until the server closes the connection.
func sendEmptyLines(c net.Conn, _ int) error {
	b := bytes.Repeat([]byte("\r\n"), 8<<10)
	for {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
}

// sendManyRequests sends requests on one connection and reads no response.
func sendManyRequests(c net.Conn, path string) error {
	b := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Lacewingdoor-Credential: %s\r\n\r\n", path, platformstandin.Host, platformstandin.Key)
	b = bytes.Repeat(b, 200)
	for range 200 {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// sendPeerRead sends a call of another VM, and then reads nothing.
func sendPeerRead(c net.Conn, path, body string) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: vm\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	return err
}

// sendPeerBody sends a call of another VM whose body does not end.
func sendPeerBody(c net.Conn, size int) error {
	if _, err := fmt.Fprintf(c, "POST /store/append HTTP/1.1\r\nHost: vm\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n{\"x\":\"", size); err != nil {
		return err
	}
	b := bytes.Repeat([]byte("p"), 64<<10)
	for n := 0; n < size-len(b)-hostileMissing; n += len(b) {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return nil
}
