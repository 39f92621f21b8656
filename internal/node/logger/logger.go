// Package logger writes log lines in the background, so that logging never blocks.
package logger

import (
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

const (
	maxQueuedLines = 4096 // a burst of decisions logs a few hundred lines
	maxBatchBytes  = 64 << 10
)

// Logger queues lines and writes them in the background. It drops and counts lines while
// the queue is full.
type Logger struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a logger that writes to w until it is closed.
func New(w io.Writer) *Logger {
	l := &Logger{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.write(w)
	return l
}

// Write queues a line. It never returns an error.
func (l *Logger) Write(b []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of dropped lines and failed writes.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (l *Logger) Close() {
	close(l.lines)
	<-l.done
}

func (l *Logger) write(w io.Writer) {
	defer close(l.done)
	for b := range l.lines {
		for more := true; more && len(b) < maxBatchBytes; {
			select {
			case n, ok := <-l.lines:
				b = append(b, n...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := w.Write(b); err != nil {
			l.dropped.Add(1)
		}
	}
}

// JSON returns a logrus logger that writes JSON lines through l.
func (l *Logger) JSON() *logrus.Logger {
	n := logrus.New()
	n.SetOutput(l)
	n.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return n
}
