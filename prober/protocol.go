package prober

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
)

// Protocol is the HTTP version of an executor.
type Protocol string

// HTTP versions of executors.
const (
	HTTP1   Protocol = "http/1.1"
	HTTP2C  Protocol = "h2c" // HTTP/2 without TLS, by prior knowledge
	Unknown Protocol = ""    // not detected yet
)

const (
	preface         = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	emptySettings   = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	frameHeaderSize = 9 // bytes
	frameTypeOffset = 3 // offset in the frame header
	typeSettings    = 4
)

// Detect opens a connection to address and detects whether the executor supports
// HTTP/2: its first frame is then SETTINGS. An HTTP/1.1 server answers the
// connection preface with an error, or closes the connection.
func Detect(ctx context.Context, address string) (Protocol, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return Unknown, fmt.Errorf("detect protocol of executor: %w", err)
	}
	defer func() { _ = c.Close() }()
	if d, ok := ctx.Deadline(); ok {
		err = c.SetDeadline(d)
	}
	if err == nil {
		_, err = io.WriteString(c, preface+emptySettings)
	}
	if err != nil {
		return Unknown, fmt.Errorf("detect protocol of executor at %s: %w", address, err)
	}
	var b [frameHeaderSize]byte
	_, err = io.ReadFull(c, b[:])
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return Unknown, fmt.Errorf("detect protocol of executor at %s: no answer in %s: %w", address, dialTimeout, err)
	}
	if err == nil && b[frameTypeOffset] == typeSettings {
		return HTTP2C, nil
	}
	return HTTP1, nil
}
