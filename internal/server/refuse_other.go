//go:build !linux

package server

import "net"

// refuseNew does nothing where the kernel can't be asked to drop handshakes.
func refuseNew(net.Listener) error { return nil }
