//go:build !linux

package prober

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where the system has no such setting; keep-alive
// probes remain.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
