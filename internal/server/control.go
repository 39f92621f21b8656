package server

import (
	"context"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/follower"
	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// message is a message to the control goroutine.
type message interface{ isMessage() }

type (
	// eventMessage carries an event for the reducer.
	eventMessage struct{ event reducer.Event }
	// controlGapMessage reports that records of the control stream expired unread.
	controlGapMessage struct{ from, first int64 }
	// peerControlMessage carries the control records of another entry VM.
	peerControlMessage struct {
		records []reducer.RecordRead
		next    int64 // offset of the stream up to which the records replace it
	}
	// configEntryMessage carries the next record of the configuration stream.
	configEntryMessage struct{ entry follower.Entry }
	// configCaughtUpMessage reports that the configuration stream was read to its end.
	configCaughtUpMessage struct{ next int64 }
	// configSkipMessage reports a record of the configuration stream that cannot be
	// decoded.
	configSkipMessage struct{ offset int64 }
	// configGapMessage reports that records of the configuration stream expired unread.
	configGapMessage struct{ from, first int64 }
	// peerConfigMessage carries the configuration of another entry VM.
	peerConfigMessage struct{ state publisher.State }
	// digestMessage carries the digest of another entry VM.
	digestMessage struct{ digest heartbeater.Digest }
	// listMessage carries the platform's list.
	listMessage struct{ list []connector.ListedVM }
	// executorLeavingMessage reports an executor that said in a response that it is
	// leaving.
	executorLeavingMessage struct{ id string }
)

func (eventMessage) isMessage()           {}
func (controlGapMessage) isMessage()      {}
func (peerControlMessage) isMessage()     {}
func (configEntryMessage) isMessage()     {}
func (configCaughtUpMessage) isMessage()  {}
func (configSkipMessage) isMessage()      {}
func (configGapMessage) isMessage()       {}
func (peerConfigMessage) isMessage()      {}
func (digestMessage) isMessage()          {}
func (listMessage) isMessage()            {}
func (executorLeavingMessage) isMessage() {}

// tickInterval is the time between two ticks of the reducer.
const tickInterval = 250 * time.Millisecond // a quarter of the 1 s in which urgent work must start

// runControl runs the control goroutine, the only one that changes the view, until
// ctx ends.
func (s *Server) runControl(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	v := *s.view.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox:
			v = s.handle(ctx, s.Now(), v, m)
			v = s.drainInbox(ctx, v)
		case <-t.C:
			v = s.tick(ctx, s.Now(), v)
		}
		s.publishView(&v)
	}
}

// maxBatch is the maximum number of messages handled before the view is published.
const maxBatch = 256

// drainInbox handles the messages that are already queued, so that a burst of them
// is published once.
func (s *Server) drainInbox(ctx context.Context, v view) view {
	for range maxBatch {
		select {
		case m := <-s.inbox:
			v = s.handle(ctx, s.Now(), v, m)
		default:
			return v
		}
	}
	return v
}

func (s *Server) handle(ctx context.Context, now time.Time, v view, m message) view {
	switch m := m.(type) {
	case eventMessage:
		return s.applyEvent(ctx, now, v, m.event)
	case controlGapMessage:
		return s.applyControlGap(ctx, now, v, m)
	case peerControlMessage:
		return s.applyPeerControl(ctx, now, v, m)
	case configEntryMessage:
		return s.applyConfigEntry(ctx, now, v, m.entry)
	case configCaughtUpMessage:
		return s.applyConfigCaughtUp(v)
	case configSkipMessage:
		s.config.SkipUndecodable(m.offset)
		v.config = s.config.State()
		return v
	case configGapMessage:
		return s.applyConfigGap(v, m)
	case peerConfigMessage:
		return s.applyPeerConfig(ctx, now, v, m.state)
	case digestMessage:
		v.members = v.members.WithHeard(now, m.digest)
		return s.updateMembers(ctx, now, v)
	case listMessage:
		return s.applyList(ctx, now, v, m.list)
	case executorLeavingMessage:
		return s.applyExecutorLeaving(v, m.id)
	}
	return v
}

// applyEvent applies an event to the control state and runs the resulting effects.
func (s *Server) applyEvent(ctx context.Context, now time.Time, v view, e reducer.Event) view {
	switch e := e.(type) {
	case reducer.RecordRead:
		v.controlOffset = e.Offset + 1
	case reducer.CaughtUp:
		v.controlOffset = e.Next
		v.controlCaughtUp = true
		v.paused = false
	case reducer.LogChanged:
		if v.logUp && !e.Up {
			v.logDownSince = now
		}
		v.logUp = e.Up
	default:
	}
	wasLeading := v.control.Leading()
	next, effects := reducer.Reduce(now, v.control, e)
	v.control = next
	s.runner.Do(ctx, effects)
	if wasLeading != next.Leading() {
		s.log("lead").WithField("epoch", next.Epoch().String()).WithField("leading", next.Leading()).Info("leadership changed")
	}
	return v
}

// applyControlGap resets the control state, which is then read again from the
// records that are kept: the leader appends what is still needed again before it
// expires.
func (s *Server) applyControlGap(ctx context.Context, now time.Time, v view, m controlGapMessage) view {
	if m.from > 1 {
		s.log("follow").WithField("from", m.from).WithField("first", m.first).
			Warn("control stream records expired unread; reading the stream again")
	}
	v.control = s.newControl()
	v.controlCaughtUp, v.controlFromPeer, v.controlTruncated = false, false, true
	for _, e := range s.initialEvents(v) {
		v = s.applyEvent(ctx, now, v, e)
	}
	return v
}

// initialEvents returns the events that bring a new control state up to date with
// the view.
func (s *Server) initialEvents(v view) []reducer.Event {
	return []reducer.Event{
		reducer.LogChanged{Up: v.logUp},
		reducer.ConfigChanged{Config: v.config.Config()},
		workersListed(v),
		reducer.PeersChanged{Live: s.lastLive, MissingSince: s.lastMissingSince},
	}
}

func (s *Server) tick(ctx context.Context, now time.Time, v view) view {
	members, paused := v.members.WithTick(now)
	v.members = members
	if paused {
		s.log("tick").Warn("process was paused; catching up with the log before making decisions")
		v.paused = true
	}
	v = s.updateMembers(ctx, now, v)
	return s.applyEvent(ctx, now, v, reducer.Ticked{})
}

// updateMembers passes changes of the live VMs to the reducer and the routing. A VM
// that has just started passes nothing to the reducer yet: it would take a leader
// that it has not heard from so far for dead and claim the leadership.
func (s *Server) updateMembers(ctx context.Context, now time.Time, v view) view {
	live := v.members.Live(now, s.leaving.Load())
	live = v.excludeWithoutLog(now, live)
	missingSince := v.members.MissingSince(now)
	if v.members.Settled(now) && (!slices.Equal(live, s.lastLive) || !missingSince.Equal(s.lastMissingSince)) {
		s.lastLive, s.lastMissingSince = live, missingSince
		s.log("beat").WithField("live", live).Info("live entry VMs changed")
		v = s.applyEvent(ctx, now, v, reducer.PeersChanged{Live: live, MissingSince: missingSince})
	}
	return s.updateRouting(now, v)
}

func (s *Server) applyList(ctx context.Context, now time.Time, v view, list []connector.ListedVM) view {
	var entries []heartbeater.Listed
	for _, l := range list {
		if l.Role == connector.RoleEntry {
			entries = append(entries, heartbeater.Listed{VM: l.ID, Address: l.Address, Leaving: l.Leaving})
		}
	}
	v.members = v.members.WithListed(now, entries)
	if slices.Equal(v.list, list) {
		return v
	}
	v.list = list
	v.addresses = addresses(list)
	v = s.applyEvent(ctx, now, v, workersListed(v))
	return s.updateRouting(now, v)
}

func workersListed(v view) reducer.WorkersListed {
	var e reducer.WorkersListed
	for _, l := range v.list {
		if l.Role == connector.RoleWorker {
			e.Workers = append(e.Workers, reducer.WorkerListed{ID: l.ID, Rack: l.Rack, Zone: l.Zone, Leaving: l.Leaving})
		}
	}
	return e
}

func (s *Server) applyExecutorLeaving(v view, id string) view {
	i, ok := slices.BinarySearch(v.leavingExecutors, id)
	if ok {
		return v
	}
	v.leavingExecutors = slices.Insert(slices.Clone(v.leavingExecutors), i, id)
	s.log("send").WithField("peer", id).Info("executor is leaving")
	return s.updateRouting(s.Now(), v)
}

// publishView publishes the view to other goroutines and wakes those that wait for a
// change.
func (s *Server) publishView(v *view) {
	c := *v
	before := s.view.Swap(&c)
	s.viewChanged.notify()
	if before.routing != c.routing {
		s.router.Refresh()
		s.sender.CloseExcept(executorAddresses(c.list))
	}
}

// executorAddresses returns the addresses of the listed executors.
func executorAddresses(list []connector.ListedVM) []string {
	var a []string
	for _, l := range list {
		if l.Role == connector.RoleExecutor {
			a = append(a, l.Address)
		}
	}
	return a
}
