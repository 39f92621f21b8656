package server

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// view is the state of the control goroutine as an immutable value. Other goroutines
// read it through an atomic pointer.
type view struct {
	self             string // id of this VM
	control          reducer.State
	config           publisher.State
	members          heartbeater.State
	division         limiter.Division
	list             []connector.ListedVM // sorted by id
	addresses        map[listKey]string   // of the listed VMs
	leavingExecutors []string             // executors that told this VM that they are leaving, sorted
	routing          *router.Snapshot
	configReady      bool  // the configuration stream was read to its end, or the configuration came from a peer
	controlTruncated bool  // the log had dropped records before this VM read them
	controlFromPeer  bool  // the control state came from another entry VM
	controlCaughtUp  bool  // the control stream was read to its end
	controlOffset    int64 // next offset of the control stream
	logUp            bool
	logDownSince     time.Time // while logUp is false
	hadShare         bool      // this VM has had a share of the slots
	paused           bool      // this process was paused and has not caught up with the log since
}

// controlComplete reports whether the control state covers the whole stream.
func (v *view) controlComplete() bool {
	return v.controlFromPeer || v.controlCaughtUp && !v.controlTruncated
}

// notReady returns why the VM cannot serve yet, or "" if it can.
func (v *view) notReady() string {
	switch {
	case !v.configReady:
		return "no configuration has been read from the log or from another entry VM"
	case v.routing == nil || !v.hadShare:
		return "executor slots have not been divided among the entry VMs yet"
	case v.paused:
		return "the process was paused and has not caught up with the log yet"
	}
	return ""
}

// address returns the address of a listed VM, or "" if it is not listed.
func (v *view) address(role connector.Role, id string) string {
	return v.addresses[listKey{role, id}]
}

// workers returns the listed workers, sorted by id.
func (v *view) workers() []connector.ListedVM {
	return slices.DeleteFunc(slices.Clone(v.list), func(l connector.ListedVM) bool {
		return l.Role != connector.RoleWorker
	})
}

// logDown returns how long the log has been unavailable to this VM, 0 if it is
// available.
func (v *view) logDown(now time.Time) time.Duration {
	if v.logUp {
		return 0
	}
	return now.Sub(v.logDownSince)
}

// logDownLimit is how long a VM may lack the log, while this one has it, and still
// lead. A short outage ends for all VMs at about the same time.
const logDownLimit = 5 * time.Second

// excludeWithoutLog returns the live VMs except those that have lost the log while
// others have it: a leader that cannot read the log places no newly accepted job,
// and would stop a job that it has not read of. So this VM, without the log, is
// excluded as long as it hears from a VM that has it.
func (v *view) excludeWithoutLog(now time.Time, live []string) []string {
	if !v.logUp {
		return slices.DeleteFunc(slices.Clone(live), func(vm string) bool { return vm == v.self && v.peerHasLog(now) })
	}
	excluded := map[string]bool{}
	for _, m := range v.members.Members() {
		down := m.Digest.LogDownFor
		excluded[m.Digest.VM] = down > 0 && down+now.Sub(m.Heard) > logDownLimit
	}
	return slices.DeleteFunc(slices.Clone(live), func(vm string) bool { return excluded[vm] })
}

// peerHasLog reports whether this VM hears from another VM that has the log.
func (v *view) peerHasLog(now time.Time) bool {
	heard := v.members.Heard(now)
	return slices.ContainsFunc(v.members.Members(), func(m heartbeater.Member) bool {
		return m.Digest.LogDownFor == 0 && !m.Digest.Leaving && slices.Contains(heard, m.Digest.VM)
	})
}

// leader returns the VM that leads and its address; the address is "" if this VM
// leads or no leader is known.
func (v *view) leader(now time.Time) (vm, address string) {
	if v.control.Leading() {
		return v.self, ""
	}
	if m, ok := v.members.Leader(now); ok {
		return m.Digest.VM, m.Address
	}
	return v.control.Leader(), ""
}

// jobsWaiting reports whether jobs wait for workers, according to this VM if it
// leads, otherwise to the leader.
func (v *view) jobsWaiting(now time.Time) bool {
	if v.control.Leading() {
		return v.control.Waiting()
	}
	m, ok := v.members.Leader(now)
	return ok && m.Digest.JobsWaiting
}
