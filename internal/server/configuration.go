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

// snapshotRetryInterval is the time between attempts to append a configuration
// snapshot.
const snapshotRetryInterval = 10 * time.Second

// applyConfigEntry applies the next record of the configuration stream.
func (s *Server) applyConfigEntry(ctx context.Context, now time.Time, v view, e follower.Entry) view {
	verdict, err := s.config.Read(e.Offset, e.Appended, e.Kind, e.Body)
	if err != nil {
		s.undecodableHandler(streamConfig)(e.Offset, e.Body, err)
	}
	l := s.log("configure").WithField("offset", e.Offset).WithField("outcome", verdict.Outcome)
	if verdict.Outcome == publisher.OutcomeDiffers {
		l.Error("configuration snapshot in the log differs from the configuration in force")
	} else {
		l.Debug("configuration record read")
	}
	return s.applyConfig(ctx, now, v, e.Appended)
}

func (s *Server) applyConfigCaughtUp(v view) view {
	v.config = s.config.State()
	if v.config.Complete() {
		v.configReady = true
	}
	return v
}

// applyConfigGap handles records that expired unread; the configuration in force is
// kept.
func (s *Server) applyConfigGap(v view, m configGapMessage) view {
	s.config.SetFirstOffset(m.first)
	v.config = s.config.State()
	return v
}

// applyPeerConfig takes over the configuration of another entry VM if it is newer.
func (s *Server) applyPeerConfig(ctx context.Context, now time.Time, v view, c publisher.State) view {
	s.config.Adopt(c)
	v.configReady = v.configReady || s.config.State().Complete()
	return s.applyConfig(ctx, now, v, time.Time{})
}

// applyConfig switches the control state and the routing to a new revision as a
// whole.
func (s *Server) applyConfig(ctx context.Context, now time.Time, v view, appended time.Time) view {
	before := v.config.Revision()
	v.config = s.config.State()
	if v.config.Revision() <= before {
		return v
	}
	if v.configReady && !appended.IsZero() {
		s.observe("configuration-lag", "", "", now.Sub(appended))
	}
	s.log("configure").WithField("revision", v.config.Revision()).Info("configuration in force")
	v = s.applyEvent(ctx, now, v, reducer.ConfigChanged{Config: v.config.Config()})
	return s.updateRouting(now, v)
}

// maintainSnapshot appends a configuration snapshot while this VM leads and the last
// snapshot is about to expire.
func (s *Server) maintainSnapshot(ctx context.Context) {
	every(ctx, snapshotRetryInterval, func() {
		v := s.view.Load()
		if !v.control.Leading() || !s.config.NeedsSnapshot(s.Now(), s.Settings.Retention) {
			return
		}
		id := fmt.Sprintf("snapshot-%s-%d", s.Settings.VM, s.Now().UnixMilli())
		if err := s.appendConfig(ctx, id, publisher.Snapshot{State: s.config.State()}); err != nil {
			s.throttled.log("snapshot", s.Settings.LogAddress, err)
		}
	})
}

// appendConfig appends a record with the given id to the configuration stream.
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

// appendConfigAndWait appends a record that an operator sent and waits until this VM
// has read it back. It returns the offset of the record.
func (s *Server) appendConfigAndWait(ctx context.Context, id string, r publisher.Record) (int64, error) {
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

// configuration returns the configuration of this VM and the revision of each
// present VM.
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
