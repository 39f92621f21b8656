package server

import (
	"fmt"
	"net"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Where the flags stand in a TCP header, and those that count here.
const (
	flagsOffset = 13 // bytes
	flagSYN     = 0x02
	flagACK     = 0x10
	keepAll     = 0xffff // bytes of a packet that is let through
)

// refuseNew lets a listener take no new connections, while those whose handshake
// has begun still complete. Closing a listener resets connections that the kernel
// has completed and nobody has accepted, with the requests on them. A caller whose
// SYN is dropped sends it again after a second, and finds the port closed.
func refuseNew(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	p, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: flagSYN | flagACK},
		bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: flagSYN, SkipTrue: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: keepAll},
	})
	if err != nil {
		return fmt.Errorf("assemble the filter of %s: %w", l.Addr(), err)
	}
	f := make([]unix.SockFilter, len(p))
	for i, x := range p {
		f[i] = unix.SockFilter{Code: x.Op, Jt: x.Jt, Jf: x.Jf, K: x.K}
	}
	return control(t, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]})
	})
}

// control runs f on the file descriptor of a listener.
func control(t *net.TCPListener, f func(fd int) error) error {
	c, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach the socket of %s: %w", t.Addr(), err)
	}
	var failed error
	if err := c.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return fmt.Errorf("reach the socket of %s: %w", t.Addr(), err)
	}
	if failed != nil {
		return fmt.Errorf("set the filter of %s: %w", t.Addr(), failed)
	}
	return nil
}
