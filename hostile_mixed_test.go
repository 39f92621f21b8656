package main_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const (
	mixedMemoryMB, mixedMaxFDs = 284, 4100
	mixedClients               = 40 // of each kind
	mixedTime                  = 6 * time.Second
	slowCallerTime             = 1500 * time.Millisecond // callers wait for 3 s
	mixedPause                 = 100 * time.Millisecond  // between two ordinary requests
)

// Guards against clients of all kinds at once that come back whenever their connection is closed.
// How many ordinary requests are answered meanwhile is logged and not checked.
func TestHostileMixedCrowd(t *testing.T) {
	v := startLimitedVM(t, mixedMemoryMB, mixedMaxFDs)
	const job = "/slow/00000000000000ee"
	v.waitUntil("an ordinary job is accepted", func() bool {
		return soakCall(http.MethodPost, v.callers, job, platformstandin.Job("10ms", 1, false)).status == http.StatusOK
	})
	check := sampleHostile(t, v.process.Process.Pid, v.callers, mixedMemoryMB, mixedMaxFDs)
	end := time.Now().Add(mixedTime)
	var clients sync.WaitGroup
	for _, a := range callerAttacks {
		for i := range mixedClients {
			clients.Go(func() {
				for time.Now().Before(end) {
					c, err := net.DialTimeout("tcp", v.callers, hostileClientTime)
					if err != nil {
						continue
					}
					_ = c.SetDeadline(end)
					_ = a.send(c, i)
					_, _ = c.Read(make([]byte, 1)) // until the connection is closed or answered
					_ = c.Close()
				}
			})
		}
	}
	answers := map[string]int{}
	for time.Now().Before(end) {
		client := &http.Client{Timeout: mixedTime, Transport: &http.Transport{DisableKeepAlives: true}}
		status, answer := platformstandin.Call(client, http.MethodGet, v.callers, job, platformstandin.Key, "")
		answers[fmt.Sprintf("%d %q", status, answer)]++
		time.Sleep(mixedPause)
	}
	clients.Wait()
	check()
	t.Logf("answers to ordinary requests: %v", answers)
	v.waitUntil("an ordinary request is answered", func() bool {
		return soakCall(http.MethodGet, v.callers, job, "").status == http.StatusOK
	})
}

// Guards against limits that the slowest callers within the platform's limits reach in calm: a job
// of the largest usual size in pieces over most of the caller's time, and a head in pieces.
func TestHostileLimitsServeSlowCallers(t *testing.T) {
	const pieces = 20
	v := startLimitedVM(t, smallestMemoryMB, smallestMaxFDs)
	job := platformstandin.Job(strings.Repeat("s", hostileMaxSpec), 1, false)
	head := fmt.Sprintf("POST /slow/%016x HTTP/1.1\r\nHost: %s\r\nX-Lacewingdoor-Credential: %s\r\nContent-Length: %d\r\n\r\n", 1, platformstandin.Host, platformstandin.Key, len(job))
	for _, c := range []struct{ slow, rest string }{{head + job[:1], job[1:]}, {job, ""}} {
		conn, err := net.Dial("tcp", v.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if c.rest == "" {
			_, _ = conn.Write([]byte(head))
		}
		for i := range pieces {
			_, err = conn.Write([]byte(c.slow[len(c.slow)*i/pieces : len(c.slow)*(i+1)/pieces]))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(slowCallerTime / pieces)
		}
		_, _ = conn.Write([]byte(c.rest))
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			t.Errorf("a slow caller got %d", r.StatusCode)
		}
	}
}
