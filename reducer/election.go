package reducer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// claim is the last attempt of this VM to become the leader.
type claim struct {
	sent     bool
	at       time.Time
	previous int64
	failedAt time.Time // of the last claim whose append was not confirmed
}

func (t *transition) peersChanged(e PeersChanged) {
	if e.MissingSince.Before(t.peerMissingSince) {
		t.peerReturnedAt = t.now // until now it may have renewed leases that this VM could not observe
	}
	t.livePeers, t.peerMissingSince = e.Live, e.MissingSince
}

// elect claims leadership when the leader is missing, the stream was read to its end
// since then, and the VMs ahead in the list of live VMs have had time to claim.
func (t *transition) elect() {
	t.yieldProvisional()
	if !t.leaderMissing() {
		t.leaderMissingSince = time.Time{}
		return
	}
	if t.leaderMissingSince.IsZero() {
		t.leaderMissingSince = t.now
	}
	position := slices.Index(t.livePeers, t.self)
	if !t.logUp {
		t.leaderMissingSince = t.now // once the log answers, a provisional leader may claim first
		if position == 0 {
			t.leadProvisionally()
		}
		return
	}
	if !t.hasEpoch() && t.now.Before(t.logUpSince.Add(peerDetectionTime)) {
		return // the whole network may have been partitioned; a live leader is heard by then
	}
	if position < 0 || t.now.Before(t.leaderMissingSince.Add(time.Duration(position)*claimStagger)) {
		return
	}
	if !t.caughtUpAt.After(t.leaderMissingSince) || !t.caughtUpAt.After(t.claim.failedAt) {
		return
	}
	if t.claim.sent && t.now.Before(t.claim.at.Add(claimRetryDelay)) {
		return
	}
	t.claim.sent = true
	t.claim.at = t.now
	t.claim.previous = t.term
	t.emit(AppendRecord{Record: LeaderClaimed{VM: t.self, Previous: t.term}})
}

// leaderMissing reports whether there is no leader for this VM to follow. A VM that
// the log names as leader but that does not lead has restarted, or was superseded by
// a provisional leader; it claims again. A provisional leader claims a term of its
// own once the log answers.
func (t *transition) leaderMissing() bool {
	switch {
	case t.hasEpoch():
		return t.epoch.SubTerm > 0 && t.logUp
	case t.leader == t.self || t.leader == "":
		return true
	default:
		return !slices.Contains(t.livePeers, t.leader)
	}
}

// leadProvisionally takes a sub-term of the last epoch while the log is unavailable.
// Only the first live VM does so, because the others cannot learn of it. It decides
// only once a majority of the workers has accepted its epoch; workers refuse an epoch
// that they have seen from another VM, so two VMs cannot both decide. A refusal
// reports the epoch that the next attempt has to exceed.
func (t *transition) leadProvisionally() {
	if t.hasEpoch() || t.term == 0 || t.leader == t.self && t.claim.sent {
		return
	}
	if t.now.Before(t.claim.at.Add(claimRetryDelay)) {
		return
	}
	t.claim.at = t.now
	highest := leaser.Epoch{Term: t.term}
	if highest.Less(t.seenEpoch) {
		highest = t.seenEpoch
	}
	t.becomeLeader(leaser.Epoch{Term: highest.Term, SubTerm: highest.SubTerm + 1})
}

// claimEnded records a claim whose append was not confirmed. The claim may have been
// written, so the stream is read to its end before the next one.
func (t *transition) claimEnded(r LeaderClaimed, failed bool) {
	if failed && t.claim.sent && t.claim.previous == r.Previous {
		t.claim.failedAt = t.now
	}
}

// confirmTerm appends the term in force, so that the log always contains it.
func (t *transition) confirmTerm() {
	if !t.hasEpoch() || t.epoch.SubTerm > 0 {
		return
	}
	t.queueAppend(TermConfirmed{VM: t.self, Term: t.term})
	if t.settings.Retention > 0 {
		t.setTimer(timerTerm, "", t.now.Add(t.settings.Retention/reappendsPerRetention))
	}
}
