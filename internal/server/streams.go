package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/lacewingdoor/lacewingdoor/follower"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// Streams of the log.
const (
	streamClaims  = "claims"
	streamConfig  = "config"
	streamControl = "control"
)

// appendTimeout bounds how long an append to the control or configuration stream is
// tried.
const appendTimeout = 5 * time.Second

// followControl reads the control stream until ctx ends.
func (s *Server) followControl(ctx context.Context) {
	f := s.newFollower(streamControl)
	f.Handle = func(e follower.Entry) {
		s.controlAppender.Observe(e)
		r, err := reducer.Decode(e.Kind, e.Body)
		if err != nil {
			s.undecodableHandler(streamControl)(e.Offset, e.Body, err)
			return
		}
		s.post(eventMessage{reducer.RecordRead{Offset: e.Offset, Appended: e.Appended, Record: r}})
	}
	f.CaughtUp = func(next int64) { s.post(eventMessage{reducer.CaughtUp{Next: next}}) }
	f.Gap = func(from, first int64) { s.post(controlGapMessage{from, first}) }
	f.AvailabilityChanged = func(up bool) {
		s.log("follow").WithField("peer", s.Settings.LogAddress).WithField("up", up).Warn("log service availability changed")
		s.post(eventMessage{reducer.LogChanged{Up: up}})
	}
	_ = f.Run(ctx) // returns only when ctx ends
}

// followConfig reads the configuration stream until ctx ends.
func (s *Server) followConfig(ctx context.Context) {
	f := s.newFollower(streamConfig)
	f.Handle = func(e follower.Entry) {
		s.configAppender.Observe(e)
		s.post(configEntryMessage{e})
	}
	f.CaughtUp = func(next int64) { s.post(configCaughtUpMessage{next}) }
	f.Gap = func(from, first int64) { s.post(configGapMessage{from, first}) }
	undecodable := f.Undecodable
	f.Undecodable = func(offset int64, data []byte, err error) {
		undecodable(offset, data, err)
		s.post(configSkipMessage{offset})
	}
	_ = f.Run(ctx) // returns only when ctx ends
}

func (s *Server) newFollower(stream string) *follower.Follower {
	return &follower.Follower{
		Stream:      stream,
		From:        1,
		Read:        s.logService.PageReader(stream),
		Undecodable: s.undecodableHandler(stream),
		ReadFailed: func(err error, _ int, _ time.Duration) {
			s.recorder.Count("log-read-failures", 1)
			s.throttled.log("follow", s.Settings.LogAddress, err)
		},
	}
}

// undecodableHandler returns a function that counts and logs a record that cannot be
// decoded and is skipped.
func (s *Server) undecodableHandler(stream string) func(int64, []byte, error) {
	return func(offset int64, data []byte, err error) {
		s.recorder.Count("records-set-aside", 1)
		s.log("follow").WithField("stream", stream).WithField("offset", offset).
			WithField("bytes", len(data)).WithError(err).Error("cannot decode record; setting it aside")
	}
}

func (s *Server) newAppender(stream string) *follower.Appender {
	n := s.Settings.AppendRate
	return &follower.Appender{
		Stream:    stream,
		Write:     s.logService.AppendFunc(stream),
		Uncertain: connector.Uncertain,
		Budget:    rate.NewLimiter(rate.Limit(n), n),
	}
}

// appendControl appends a record to the control stream.
func (s *Server) appendControl(ctx context.Context, r reducer.Record) error {
	kind, body, err := reducer.Encode(r)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	at := s.Now()
	e := follower.Envelope{ID: uuid.NewString(), Kind: kind, VM: s.Settings.VM, Body: body}
	err = s.controlAppender.Append(c, e)
	s.observe("log-append", "", kind, s.Now().Sub(at))
	if err != nil {
		return fmt.Errorf("append %s record: %w", kind, err)
	}
	return nil
}

// maybeAppended reports whether a failed append may have taken effect.
func maybeAppended(err error) bool { return !errors.Is(err, follower.ErrNotAppended) }

// appendControlAndWait appends a control record and waits until this VM has read it
// back.
func (s *Server) appendControlAndWait(ctx context.Context, r reducer.Record) error {
	c, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := s.appendControl(c, r); err != nil {
		return err
	}
	return s.await(c, func(v *view) bool { return applied(v.control, r) })
}

// applied reports whether the control state includes a record that was appended.
func applied(c reducer.State, r reducer.Record) bool {
	switch r := r.(type) {
	case reducer.JobAccepted:
		_, ok := c.Job(r.Job.ID)
		return ok
	case reducer.JobCancelled:
		j, ok := c.Job(r.Job)
		return !ok || j.Phase == reducer.PhaseEnded || j.Phase == reducer.PhaseStopping
	default:
		return true
	}
}
