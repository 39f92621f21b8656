package server

import (
	"net/http"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/internal/node/acceptor"
	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

// Limits of HTTP/2 connections, each of which carries many requests.
const (
	maxPeerHeaderBytes = 16 << 10 // of calls between entry VMs
	// peerBuffer is larger than the buffers for callers: inventories of some hundred KB cross
	// regions within peerTimeout.
	peerBuffer           = 64 << 10
	maxConcurrentStreams = 100 // the least that HTTP/2 recommends
)

// prepareAcceptors divides the memory and the descriptors of the process.
func (s *Server) prepareAcceptors() {
	shares := budgeter.Divide(budgeter.Limits{MemoryMB: s.Settings.MemoryMB, Descriptors: maxDescriptors()})
	s.callersAcceptor = s.newAcceptor("callers", shares.Callers)
	s.peersAcceptor = s.newAcceptor("entry VMs", shares.VMs.WithBuffer(peerBuffer))
}

func (s *Server) newAcceptor(name string, share budgeter.Share) *acceptor.Acceptor {
	return &acceptor.Acceptor{
		Name: name, Share: share, Count: s.recorder.Count, Now: s.Now,
		Report: func(closed map[budgeter.Reason]int) {
			f := logrus.Fields{"listener": name}
			for r, n := range closed {
				f[string(r)] = n
			}
			s.log("limit").WithFields(f).Warn("connections were closed to stay within the VM's limits")
		},
	}
}

// serveMetrics serves the metrics with what the clients hold at present.
func (s *Server) serveMetrics(w http.ResponseWriter, q *http.Request) {
	for _, x := range []*acceptor.Acceptor{s.callersAcceptor, s.peersAcceptor} {
		for name, n := range x.Gauges() {
			s.recorder.Set(name, n)
		}
	}
	s.recorder.ServeHTTP(w, q)
}

// maxDescriptors returns how many files the process may open, 0 if that is unknown.
func maxDescriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	const enough = 1 << 20 // also stands for "unlimited"
	return int(min(l.Cur, enough))
}

// http2Config returns the limits of HTTP/2 connections besides the given ones.
func http2Config(c http.HTTP2Config) *http.HTTP2Config {
	c.MaxConcurrentStreams = maxConcurrentStreams
	c.MaxReceiveBufferPerConnection = acceptor.HTTP2ReceiveBuffer
	c.MaxReceiveBufferPerStream = acceptor.HTTP2ReceiveBuffer
	return &c
}
