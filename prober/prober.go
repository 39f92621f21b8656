// Package prober tells connections that have gone silent for good from those on
// which an executor merely takes its time, and drops the former within
// [DropBound].
//
// Over HTTP/2 a ping shares the connection with the request that waits, and the
// executor's protocol layer answers it however long the request runs: no answer
// means that the connection is lost. Over HTTP/1.1 nothing can be sent beside a
// request that waits, so the kernel's keep-alive probes do the same one layer
// lower. A small request on a fresh connection says only that the executor
// lives, which is why it drops nothing.
package prober

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

// DropBound is the longest time for which a silent connection is kept.
const DropBound = 5 * time.Second

const (
	pingAfter     = 1500 * time.Millisecond // without any frame
	pingTimeout   = 1500 * time.Millisecond // a thousand round trips between availability zones
	keepAliveIdle = time.Second             // the kernel counts in seconds
	keepAliveStep = time.Second
	keepAlives    = 3
	unackedBound  = 4 * time.Second // written bytes that nobody acknowledges
	dialTimeout   = time.Second
)

// HTTP2 returns the settings that make net/http ping a silent connection and
// drop it when the ping is not answered.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: unackedBound}
}

// Dialer returns a dialer whose connections the kernel drops when the other end
// acknowledges nothing.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveStep, Count: keepAlives,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, unackedBound) },
	}
}
