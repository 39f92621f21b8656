package reducer

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// claim is what this VM last did to become the leader.
type claim struct {
	sent     bool
	at       time.Time
	previous int64
	failedAt time.Time // of the last claim whose append was not confirmed
}

func (t *turn) peersChanged(e PeersChanged) {
	if e.Missing.Before(t.absent) {
		t.rejoined = t.now // until now it may have renewed what this VM could not hear of
	}
	t.live, t.absent = e.Live, e.Missing
}

// elect claims leadership when it is this VM's turn: the leader is missing, the
// stream was read to its end since, and the VMs before it in the list of live
// ones have had time to claim.
func (t *turn) elect() {
	t.giveWay()
	if !t.leaderMissing() {
		t.goneAt = time.Time{}
		return
	}
	if t.goneAt.IsZero() {
		t.goneAt = t.now
	}
	rank := slices.Index(t.live, t.self)
	if !t.logUp {
		t.goneAt = t.now // once the log answers, a provisional leader comes first
		if rank == 0 {
			t.leadProvisionally()
		}
		return
	}
	if !t.holding() && t.now.Before(t.upAt.Add(disputeTime)) {
		return // the whole network may have been cut; a leader that lives is heard by then
	}
	if rank < 0 || t.now.Before(t.goneAt.Add(time.Duration(rank)*claimPause)) {
		return
	}
	if !t.caughtAt.After(t.goneAt) || !t.caughtAt.After(t.claim.failedAt) {
		return
	}
	if t.claim.sent && t.now.Before(t.claim.at.Add(claimRetry)) {
		return
	}
	t.claim.sent = true
	t.claim.at = t.now
	t.claim.previous = t.term
	t.emit(AppendRecord{Record: LeaderClaimed{VM: t.self, Previous: t.term}})
}

// leaderMissing reports whether nobody leads whom this VM may follow. A VM that
// the log names as leader but which does not lead has started anew or was
// outranked by a provisional leader; it claims anew. A provisional leader claims
// a term of its own once the log answers.
func (t *turn) leaderMissing() bool {
	switch {
	case t.holding():
		return t.epoch.SubTerm > 0 && t.logUp
	case t.leader == t.self || t.leader == "":
		return true
	default:
		return !slices.Contains(t.live, t.leader)
	}
}

// leadProvisionally takes a sub-term of the last epoch while the log is down. Only
// the first of the live VMs does so, for nothing tells the others that it did. It
// decides only once a majority of the workers has accepted it; they refuse an
// epoch that they have seen from another VM, so two cannot both decide. A refusal
// shows the epoch that the next try has to exceed.
func (t *turn) leadProvisionally() {
	if t.holding() || t.term == 0 || t.leader == t.self && t.claim.sent {
		return
	}
	if t.now.Before(t.claim.at.Add(claimRetry)) {
		return
	}
	t.claim.at = t.now
	highest := leaser.Epoch{Term: t.term}
	if highest.Less(t.shown) {
		highest = t.shown
	}
	t.lead(leaser.Epoch{Term: highest.Term, SubTerm: highest.SubTerm + 1})
}

// claimEnded notes a claim whose append was not confirmed. It may have taken
// effect, so the stream is read to its end before the next.
func (t *turn) claimEnded(r LeaderClaimed, failed bool) {
	if failed && t.claim.sent && t.claim.previous == r.Previous {
		t.claim.failedAt = t.now
	}
}

// vouch appends the term in force, so that the log always keeps it.
func (t *turn) vouch() {
	if !t.holding() || t.epoch.SubTerm > 0 {
		return
	}
	t.send(LeaderVouched{VM: t.self, Term: t.term})
	if t.settings.Retention > 0 {
		t.arm(timerTerm, "", t.now.Add(t.settings.Retention/keepParts))
	}
}
