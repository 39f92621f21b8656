package elector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
)

const pastTimeout = 4 * time.Second // longer than the claim delay of any VM

func startTime() time.Time { return time.Unix(1_000_000, 0) }

func TestClaimsWhenNobodyHasLed(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.NoAction) // the topic has not been read yet
	e.CaughtUp(now, 0)
	is.Equal(e.Decide(now), elector.NoAction)
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.MakeClaim)
	c, err := elector.Decode(7, []byte(`{"holder":"a","life":"1"}`))
	is.NoErr(err)
	e.Apply(now.Add(pastTimeout), 7, c)
	is.True(e.Leading())
	is.Equal(e.Epoch(), int64(8))
	is.Equal(e.NextOffset(), int64(8))
	is.Equal(e.Decide(now.Add(2*pastTimeout)), elector.Renew)
}

func TestClaimsAfterLeaderTimeout(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 1)
	for range 10 {
		e.Apply(now, 0, elector.Claim{Holder: "b", Instance: "1", Epoch: 1})
		now = now.Add(time.Second)
		is.Equal(e.Decide(now), elector.NoAction)
	}
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.MakeClaim)
}

// The leader can't renew during an outage of the store. VMs must not take the missing
// renewals for a failed leader as soon as the store is back.
func TestStoreRecoveryRestartsLeaderTimeout(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 1)
	e.Apply(now, 0, elector.Claim{Holder: "b", Instance: "1", Epoch: 1})
	e.SetStoreUp(now, false)
	now = now.Add(pastTimeout)
	is.Equal(e.Decide(now), elector.NoAction) // an append would fail
	e.SetStoreUp(now, true)
	is.Equal(e.Decide(now.Add(time.Second)), elector.NoAction)
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.MakeClaim)
}

func TestReleasedLeadershipIsClaimedBeforeLeaderTimeout(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 1)
	e.Apply(now, 0, elector.Claim{Holder: "b", Instance: "1", Epoch: 1})
	e.Apply(now, 1, elector.Claim{Holder: "b", Instance: "1", Epoch: 1, Released: true})
	is.Equal(e.Leader(), "")
	is.Equal(e.Decide(now.Add(time.Second/2)), elector.MakeClaim)
}

func TestRestartedLeaderClaimsImmediately(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "2"}
	e.CaughtUp(now, 1)
	e.Apply(now, 0, elector.Claim{Holder: "a", Instance: "1", Epoch: 1})
	is.True(!e.Leading())
	is.Equal(e.Decide(now.Add(time.Millisecond)), elector.MakeClaim)
}

func TestRecordOfOlderEpochIsIgnored(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 5)
	e.Apply(now, 4, elector.Claim{Holder: "a", Instance: "1", Epoch: 5})
	e.Apply(now, 5, elector.Claim{Holder: "b", Instance: "1", Epoch: 1}) // a delayed renewal
	is.True(e.Leading())
	is.Equal(e.NextOffset(), int64(6)) // the next append must go to the new end of the topic
}

func TestVMShuttingDownDoesNotClaim(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 0)
	e.Leave()
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.NoAction)
}

func TestReleasedLeaderLeadsUntilClaimed(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 1)
	e.Apply(now, 0, elector.Claim{Holder: "a", Instance: "1", Epoch: 1})
	e.Leave()
	e.Apply(now, 1, elector.Claim{Holder: "a", Instance: "1", Epoch: 1, Released: true})
	is.True(e.Leading())
	is.Equal(e.Leader(), "")
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.NoAction) // a renewal would revoke the release
	e.Apply(now, 2, elector.Claim{Holder: "b", Instance: "1", Epoch: 3})
	is.True(!e.Leading())
}

// The append of a release may get lost, or a renewal may have been stored without an answer.
func TestReleaseIsRepeatedUntilItIsStored(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 1)
	e.Apply(now, 0, elector.Claim{Holder: "a", Instance: "1", Epoch: 1})
	e.Leave()
	is.Equal(e.Decide(now), elector.Release)
	for range 10 {
		is.Equal(e.Decide(now.Add(time.Millisecond)), elector.NoAction)
		now = now.Add(time.Second)
		is.Equal(e.Decide(now), elector.Release) // and no renewal, which would keep the others from claiming
	}
	e.Apply(now, 1, elector.Claim{Holder: "a", Instance: "1", Epoch: 1, Released: true})
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.NoAction)
}

// A claim may be carried out after its VM has begun to shut down.
func TestLateClaimOfLeavingVMIsReleased(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 0)
	e.Leave()
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.NoAction)
	e.Apply(now, 0, elector.Claim{Holder: "a", Instance: "1", Epoch: 1})
	is.Equal(e.Decide(now.Add(pastTimeout)), elector.Release)
}

// A VM that renewed on after its scheduler has ended would keep all others from leading.
func TestLeadershipWithoutSchedulerIsClaimedAnew(t *testing.T) {
	is := is.New(t)
	now := startTime()
	e := elector.Elector{Self: "a", Instance: "1"}
	e.CaughtUp(now, 1)
	e.Apply(now, 0, elector.Claim{Holder: "a", Instance: "1", Epoch: 1})
	is.Equal(e.Decide(now), elector.Renew)
	e.End(1)
	is.True(!e.Leading())
	now = now.Add(time.Second)
	is.Equal(e.Decide(now), elector.MakeClaim)
	e.Apply(now, 1, elector.Claim{Holder: "a", Instance: "1", Epoch: 1}) // a late renewal
	is.True(!e.Leading())
	e.Apply(now, 2, elector.Claim{Holder: "a", Instance: "1", Epoch: 3})
	is.True(e.Leading())
	e.End(3)
	e.Leave()
	is.Equal(e.Decide(now.Add(time.Second)), elector.Release)
}

// A VM may append to other partitions only if the next reader of jobs reads them: the leader, or
// after a release one that may be of an older version.
func TestPartitionsOfTheNewestClaimCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var e elector.Elector
	is.Equal(e.Parts(), 1)
	e.Apply(now, 0, elector.Claim{Holder: "a", Epoch: 1, Parts: 12})
	is.Equal(e.Parts(), 12)
	e.Apply(now, 1, elector.Claim{Holder: "a", Epoch: 1, Parts: 12, Released: true})
	is.Equal(e.Parts(), 1)
	e.Apply(now, 2, elector.Claim{Holder: "b", Epoch: 3}) // of an older version
	is.Equal(e.Parts(), 1)
}
