//go:build !linux

package prober

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing: other systems lack TCP_USER_TIMEOUT, so only the
// keep-alive probes apply.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
