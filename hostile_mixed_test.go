package main_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const (
	mixedMemoryMB, mixedMaxFDs = 284, 4100
	mixedClients               = 40 // of each kind
	mixedTime                  = 6 * time.Second
	mixedPause                 = 100 * time.Millisecond // between two ordinary requests
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
