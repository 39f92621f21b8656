package prober

import (
	"fmt"
	"syscall"
	"time"
)

const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, missing in package syscall; the value is in milliseconds

// setUserTimeout bounds how long written bytes may stay unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("set TCP user timeout of connection: %w", err)
	}
	return nil
}
