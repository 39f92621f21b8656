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

// message is what other goroutines send to the control goroutine.
type message interface{ isMessage() }

type (
	// eventMessage brings an event for the reducer.
	eventMessage struct{ event reducer.Event }
	// controlGapMessage says that records of the control stream expired unread.
	controlGapMessage struct{ from, first int64 }
	// controlStateMessage brings the control records of another entry VM.
	controlStateMessage struct {
		records []reducer.RecordRead
		next    int64 // offset up to which they stand for the stream
	}
	// configEntryMessage brings the next record of the configuration stream.
	configEntryMessage struct{ entry follower.Entry }
	// configCaughtUpMessage says that the configuration stream was read to its end.
	configCaughtUpMessage struct{ next int64 }
	// configSkipMessage names a record of the configuration stream that can't be read.
	configSkipMessage struct{ offset int64 }
	// configGapMessage says that records of the configuration stream expired unread.
	configGapMessage struct{ from, first int64 }
	// configStateMessage brings the configuration of another entry VM.
	configStateMessage struct{ state publisher.State }
	// heardMessage brings the digest of another entry VM.
	heardMessage struct{ digest heartbeater.Digest }
	// listedMessage brings the platform's list.
	listedMessage struct{ list []connector.ListedVM }
	// executorLeavingMessage names an executor whose own answer says it leaves.
	executorLeavingMessage struct{ id string }
)

func (eventMessage) isMessage()           {}
func (controlGapMessage) isMessage()      {}
func (controlStateMessage) isMessage()    {}
func (configEntryMessage) isMessage()     {}
func (configCaughtUpMessage) isMessage()  {}
func (configSkipMessage) isMessage()      {}
func (configGapMessage) isMessage()       {}
func (configStateMessage) isMessage()     {}
func (heardMessage) isMessage()           {}
func (listedMessage) isMessage()          {}
func (executorLeavingMessage) isMessage() {}

// tickInterval is the time between two ticks of the reducer.
const tickInterval = 250 * time.Millisecond // a quarter of the second in which urgent work starts

// control runs the control goroutine until ctx ends. It alone changes the view.
func (s *Server) control(ctx context.Context) {
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
		s.publish(&v)
	}
}

// maxBatch bounds how many messages are handled before the view is published.
const maxBatch = 256

// drainInbox handles the messages that already wait, so that a burst of them
// costs one publication.
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
		return s.event(ctx, now, v, m.event)
	case controlGapMessage:
		return s.controlGap(ctx, now, v, m)
	case controlStateMessage:
		return s.adoptControl(ctx, now, v, m)
	case configEntryMessage:
		return s.configEntry(ctx, now, v, m.entry)
	case configCaughtUpMessage:
		return s.configCaughtUp(v)
	case configSkipMessage:
		s.config.Skip(m.offset)
		v.config = s.config.State()
		return v
	case configGapMessage:
		return s.configGap(v, m)
	case configStateMessage:
		return s.configState(ctx, now, v, m.state)
	case heardMessage:
		v.members = v.members.WithHeard(now, m.digest)
		return s.membership(ctx, now, v)
	case listedMessage:
		return s.listed(ctx, now, v, m.list)
	case executorLeavingMessage:
		return s.executorLeaving(v, m.id)
	}
	return v
}

// event feeds one event to the reducer and hands over its effects.
func (s *Server) event(ctx context.Context, now time.Time, v view, e reducer.Event) view {
	switch e := e.(type) {
	case reducer.RecordRead:
		v.controlOffset = e.Offset + 1
	case reducer.CaughtUp:
		v.controlOffset = e.Next
		v.controlReady = true
		v.paused = false
	case reducer.LogChanged:
		if v.logUp && !e.Up {
			v.logDownSince = now
		}
		v.logUp = e.Up
	default:
	}
	led := v.control.Leading()
	next, effects := reducer.Reduce(now, v.control, e)
	v.control = next
	s.runner.Do(ctx, effects)
	if led != next.Leading() {
		s.log("lead").WithField("epoch", next.Epoch().String()).WithField("leading", next.Leading()).Info("leadership changed")
	}
	return v
}

// controlGap starts the control state anew: what still counts stands in the
// records that are kept, for the leader appends it again before it expires.
func (s *Server) controlGap(ctx context.Context, now time.Time, v view, m controlGapMessage) view {
	if m.from > 1 {
		s.log("follow").WithField("from", m.from).WithField("first", m.first).
			Warn("records of the control stream expired unread; reading it anew")
	}
	v.control = s.newControl()
	v.controlReady, v.controlAdopted, v.controlHole = false, false, true
	for _, e := range s.known(v) {
		v = s.event(ctx, now, v, e)
	}
	return v
}

// known returns the events that tell a new control state what the view knows.
func (s *Server) known(v view) []reducer.Event {
	return []reducer.Event{
		reducer.LogChanged{Up: v.logUp},
		reducer.ConfigChanged{Config: v.config.Config()},
		workersListed(v),
		reducer.PeersChanged{Live: s.lastLive, Missing: s.lastMissing},
	}
}

func (s *Server) tick(ctx context.Context, now time.Time, v view) view {
	members, paused := v.members.WithTick(now)
	v.members = members
	if paused {
		s.log("tick").Warn("the process was paused; reading the log again before deciding")
		v.paused = true
	}
	v = s.membership(ctx, now, v)
	return s.event(ctx, now, v, reducer.Ticked{})
}

// membership tells the reducer and traffic of live VMs, when they changed. A VM
// that has just started tells the reducer nothing yet: it would take a leader
// that it has not heard so far for dead, and claim its place.
func (s *Server) membership(ctx context.Context, now time.Time, v view) view {
	live := v.members.Live(now, s.leaving.Load())
	live = v.withoutCutOff(now, live)
	missing := v.members.Missing(now)
	if v.members.Settled(now) && (!slices.Equal(live, s.lastLive) || !missing.Equal(s.lastMissing)) {
		s.lastLive, s.lastMissing = live, missing
		s.log("beat").WithField("live", live).Info("live entry VMs changed")
		v = s.event(ctx, now, v, reducer.PeersChanged{Live: live, Missing: missing})
	}
	return s.retraffic(now, v)
}

func (s *Server) listed(ctx context.Context, now time.Time, v view, list []connector.ListedVM) view {
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
	v = s.event(ctx, now, v, workersListed(v))
	return s.retraffic(now, v)
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

func (s *Server) executorLeaving(v view, id string) view {
	i, ok := slices.BinarySearch(v.leaving, id)
	if ok {
		return v
	}
	v.leaving = slices.Insert(slices.Clone(v.leaving), i, id)
	s.log("send").WithField("peer", id).Info("executor says that it is leaving")
	return s.retraffic(s.Now(), v)
}

// publish makes the view visible to other goroutines, and wakes those that wait
// for a change.
func (s *Server) publish(v *view) {
	c := *v
	before := s.view.Swap(&c)
	s.changed.broadcast()
	if before.traffic != c.traffic {
		s.router.Refresh()
		s.sender.Keep(executorAddresses(c.list))
	}
}

// executorAddresses returns where the listed executors are.
func executorAddresses(list []connector.ListedVM) []string {
	var a []string
	for _, l := range list {
		if l.Role == connector.RoleExecutor {
			a = append(a, l.Address)
		}
	}
	return a
}
