package server

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// snapshotRetry is the time between two tries to append a snapshot of the
// configuration.
const snapshotRetry = 10 * time.Second

// configEntry applies the next record of the configuration stream.
func (s *Server) configEntry(ctx context.Context, now time.Time, v view, e follower.Entry) view {
	verdict, err := s.config.Read(e.Offset, e.Appended, e.Kind, e.Body)
	if err != nil {
		s.undecodable(streamConfig)(e.Offset, e.Body, err)
	}
	l := s.log("configure").WithField("offset", e.Offset).WithField("outcome", verdict.Outcome)
	if verdict.Outcome == publisher.OutcomeDiffers {
		l.Error("a snapshot of the configuration differs from what this VM has in force")
	} else {
		l.Debug("configuration record read")
	}
	return s.reconfigured(ctx, now, v, e.Appended)
}

func (s *Server) configCaughtUp(v view) view {
	v.config = s.config.State()
	if v.config.Complete() {
		v.configReady = true
	}
	return v
}

// configGap notes that records expired unread; what is in force stays so.
func (s *Server) configGap(v view, m configGapMessage) view {
	s.config.First(m.first)
	v.config = s.config.State()
	return v
}

// configState adopts the configuration of another entry VM, if it is newer.
func (s *Server) configState(ctx context.Context, now time.Time, v view, c publisher.State) view {
	s.config.Adopt(c)
	v.configReady = v.configReady || s.config.State().Complete()
	return s.reconfigured(ctx, now, v, time.Time{})
}

// reconfigured switches control and traffic to the revision in force, as a whole.
func (s *Server) reconfigured(ctx context.Context, now time.Time, v view, appended time.Time) view {
	before := v.config.Revision()
	v.config = s.config.State()
	if v.config.Revision() <= before {
		return v
	}
	if v.configReady && !appended.IsZero() {
		s.observe("configuration-lag", "", "", now.Sub(appended))
	}
	s.log("configure").WithField("revision", v.config.Revision()).Info("configuration in force")
	v = s.event(ctx, now, v, reducer.ConfigChanged{Config: v.config.Config()})
	return s.retraffic(now, v)
}

// keepSnapshot appends a snapshot of the configuration while this VM leads and
// the last one would expire.
func (s *Server) keepSnapshot(ctx context.Context) {
	every(ctx, snapshotRetry, func() {
		v := s.view.Load()
		if !v.control.Leading() || !s.config.NeedsSnapshot(s.Now(), s.Settings.Retention) {
			return
		}
		id := fmt.Sprintf("snapshot-%s-%d", s.Settings.VM, s.Now().UnixMilli())
		if err := s.appendConfig(ctx, id, publisher.Snapshot{State: s.config.State()}); err != nil {
			s.quiet.log("snapshot", s.Settings.LogAddress, err)
		}
	})
}

// appendConfig appends a record to the configuration stream under an id.
func (s *Server) appendConfig(ctx context.Context, id string, r publisher.Record) error {
	kind, body, err := publisher.EncodeRecord(r)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	e := follower.Envelope{ID: id, Kind: kind, VM: s.Settings.VM, Body: body}
	if err := s.configAppender.Append(c, e); err != nil {
		return fmt.Errorf("append %s record: %w", kind, err)
	}
	return nil
}

// acceptConfig appends a record that an operator sent, and waits until this VM
// has read it back. It returns the record's offset.
func (s *Server) acceptConfig(ctx context.Context, id string, r publisher.Record) (int64, error) {
	c, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := s.appendConfig(c, publisher.Kind(r)+"-"+id, r); err != nil {
		return 0, err
	}
	var v publisher.Verdict
	err := s.await(c, func(w *view) bool {
		var ok bool
		v, ok = w.config.Verdict(id)
		return ok
	})
	return v.Offset, err
}

// configuration returns what this VM knows of the configuration everywhere.
func (s *Server) configuration() publisher.ConfigurationResponse {
	v := s.view.Load()
	a := publisher.ConfigurationResponse{
		State: v.config,
		VMs:   []publisher.VMRevision{{VM: s.Settings.VM, Revision: v.config.Revision()}},
	}
	present := v.members.Present(s.Now())
	for _, m := range v.members.Members() {
		if _, ok := slices.BinarySearch(present, m.Digest.VM); ok {
			a.VMs = append(a.VMs, publisher.VMRevision{VM: m.Digest.VM, Revision: m.Digest.ConfigRevision})
		}
	}
	slices.SortFunc(a.VMs, func(a, b publisher.VMRevision) int { return strings.Compare(a.VM, b.VM) })
	return a
}
