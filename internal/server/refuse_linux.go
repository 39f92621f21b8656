package server

import (
	"fmt"
	"net"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Offset of the flags in a TCP header, and the flags that the filter checks.
const (
	flagsOffset = 13 // bytes
	flagSYN     = 0x02
	flagACK     = 0x10
	acceptWhole = 0xffff // maximum bytes of a packet that passes
)

// refuseNewConnections makes a listener accept no new connections, while handshakes
// that have begun still complete. Closing a listener resets connections that the
// kernel has established but nobody has accepted, together with the requests on
// them. A caller whose SYN is dropped retransmits it after a second and finds the
// port closed.
func refuseNewConnections(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	p, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: flagSYN | flagACK},
		bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: flagSYN, SkipTrue: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: acceptWhole},
	})
	if err != nil {
		return fmt.Errorf("assemble the packet filter for %s: %w", l.Addr(), err)
	}
	f := make([]unix.SockFilter, len(p))
	for i, x := range p {
		f[i] = unix.SockFilter{Code: x.Op, Jt: x.Jt, Jf: x.Jf, K: x.K}
	}
	return controlSocket(t, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]})
	})
}

// controlSocket calls f with the file descriptor of a listener.
func controlSocket(t *net.TCPListener, f func(fd int) error) error {
	c, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the socket of %s: %w", t.Addr(), err)
	}
	var filterErr error
	if err := c.Control(func(fd uintptr) { filterErr = f(int(fd)) }); err != nil {
		return fmt.Errorf("access the socket of %s: %w", t.Addr(), err)
	}
	if filterErr != nil {
		return fmt.Errorf("attach the packet filter to %s: %w", t.Addr(), filterErr)
	}
	return nil
}
