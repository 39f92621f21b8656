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

// view is everything that the control goroutine knows, as one immutable value.
// Other goroutines read it through an atomic pointer.
type view struct {
	self           string // id of this VM
	control        reducer.State
	config         publisher.State
	members        heartbeater.State
	division       limiter.Division
	list           []connector.ListedVM // sorted by id
	addresses      map[listKey]string   // of the list
	leaving        []string             // executors that said so to this VM, sorted
	traffic        *router.Snapshot
	configReady    bool  // the configuration was read to its end, or taken from a peer
	controlHole    bool  // the log had dropped records before this VM read them
	controlAdopted bool  // the control state was taken from another entry VM
	controlReady   bool  // the control stream was read to its end
	controlOffset  int64 // next offset of the control stream
	logUp          bool
	logDownSince   time.Time // while logUp is false
	settled        bool      // this VM had a share of the slots once
	paused         bool      // this process was paused and has not read the log since
}

// knowsControl reports whether the control state accounts for the whole stream.
func (v *view) knowsControl() bool {
	return v.controlAdopted || v.controlReady && !v.controlHole
}

// notReady returns why the VM can't serve yet, "" when it can.
func (v *view) notReady() string {
	switch {
	case !v.configReady:
		return "no configuration was read, neither from the log nor from another entry VM"
	case v.traffic == nil || !v.settled:
		return "the slots of executors are not divided yet"
	case v.paused:
		return "the process was paused and has not caught up yet"
	}
	return ""
}

// address returns where a listed VM can be reached, "" when it is not listed.
func (v *view) address(role connector.Role, id string) string {
	return v.addresses[listKey{role, id}]
}

// workers returns the listed workers, sorted by id.
func (v *view) workers() []connector.ListedVM {
	return slices.DeleteFunc(slices.Clone(v.list), func(l connector.ListedVM) bool {
		return l.Role != connector.RoleWorker
	})
}

// logDown returns for how long this VM has lacked the log, 0 when it has it.
func (v *view) logDown(now time.Time) time.Duration {
	if v.logUp {
		return 0
	}
	return now.Sub(v.logDownSince)
}

// cutOffAfter is how long a VM must lack the log, while this one has it, before it
// may no longer lead. A short outage ends for all VMs at about the same time.
const cutOffAfter = 5 * time.Second

// withoutCutOff returns the live VMs but for those that alone have lost the log: a
// leader that cannot read it places no job that is accepted now, and would stop one
// that it has not read of. So this VM, without the log, is none of them as long as it
// hears one that has it.
func (v *view) withoutCutOff(now time.Time, live []string) []string {
	if !v.logUp {
		return slices.DeleteFunc(slices.Clone(live), func(vm string) bool { return vm == v.self && v.hearsLog(now) })
	}
	cutOff := map[string]bool{}
	for _, m := range v.members.Members() {
		down := m.Digest.LogDown
		cutOff[m.Digest.VM] = down > 0 && down+now.Sub(m.Heard) > cutOffAfter
	}
	return slices.DeleteFunc(slices.Clone(live), func(vm string) bool { return cutOff[vm] })
}

// hearsLog reports whether another VM has the log and is heard.
func (v *view) hearsLog(now time.Time) bool {
	heard := v.members.Heard(now)
	return slices.ContainsFunc(v.members.Members(), func(m heartbeater.Member) bool {
		return m.Digest.LogDown == 0 && !m.Digest.Leaving && slices.Contains(heard, m.Digest.VM)
	})
}

// leader returns the VM that leads, and where it can be called; the address is ""
// when this VM leads or nobody is known to.
func (v *view) leader(now time.Time) (vm, address string) {
	if v.control.Leading() {
		return v.self, ""
	}
	if m, ok := v.members.Leader(now); ok {
		return m.Digest.VM, m.Address
	}
	return v.control.Leader(), ""
}
