// Package prober detects lost connections to executors and drops them within
// [DropTimeout], without dropping those on which an executor only takes long to
// answer.
//
// Over HTTP/2 a ping shares the connection with the waiting request, and the
// executor's protocol layer answers it however long the request runs: no answer
// means that the connection is lost. Over HTTP/1.1 nothing can be sent while a
// request waits, so the kernel's keep-alive probes do the same one layer lower. A
// small request on a new connection shows only that the executor is alive, so it
// is no reason to drop another connection.
package prober

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

// DropTimeout is the longest time after which a silent connection is dropped.
const DropTimeout = 5 * time.Second

const (
	pingIdle          = 1500 * time.Millisecond // time without any received frame
	pingTimeout       = 1500 * time.Millisecond // a thousand round trips between availability zones
	keepAliveIdle     = time.Second             // the kernel takes whole seconds
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	unackedTimeout    = 4 * time.Second // for written bytes that are not acknowledged
	dialTimeout       = time.Second
)

// HTTP2 returns the settings with which net/http pings a silent connection and
// drops it if the ping is not answered.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout, WriteByteTimeout: unackedTimeout}
}

// Dialer returns a dialer whose connections the kernel drops if the other end
// stops acknowledging.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, unackedTimeout) },
	}
}
