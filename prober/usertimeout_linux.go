package prober

import (
	"fmt"
	"syscall"
	"time"
)

const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall lacks; milliseconds

// setUserTimeout bounds how long written bytes may stay unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return fmt.Errorf("set user timeout of connection: %w", err)
	}
	return nil
}
