package elector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
)

const long = 4 * time.Second // longer than any VM waits for a sign of the leader

func start() time.Time { return time.Unix(1_000_000, 0) }

func TestFirstLeader(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	is.Equal(e.Decide(now.Add(long)), elector.Nothing) // the topic was not read yet
	e.Reached(now, 0)
	is.Equal(e.Decide(now), elector.Nothing)
	is.Equal(e.Decide(now.Add(long)), elector.MakeClaim)
	c, err := elector.Decode(7, []byte(`{"holder":"a","life":"1"}`))
	is.NoErr(err)
	e.Take(now.Add(long), 7, c)
	is.True(e.Leading())
	is.Equal(e.Epoch(), int64(8))
	is.Equal(e.Next(), int64(8))
	is.Equal(e.Decide(now.Add(2*long)), elector.Renew)
}

func TestSilentLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	e.Reached(now, 1)
	for range 10 {
		e.Take(now, 0, elector.Claim{Holder: "b", Life: "1", Epoch: 1})
		now = now.Add(time.Second)
		is.Equal(e.Decide(now), elector.Nothing)
	}
	is.Equal(e.Decide(now.Add(long)), elector.MakeClaim)
}

func TestReturnOfTheStoreIsASignOfTheLeader(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	e.Reached(now, 1)
	e.Take(now, 0, elector.Claim{Holder: "b", Life: "1", Epoch: 1})
	e.StoreChanged(now, false)
	now = now.Add(long)
	is.Equal(e.Decide(now), elector.Nothing) // no claim can be made
	e.StoreChanged(now, true)
	is.Equal(e.Decide(now.Add(time.Second)), elector.Nothing)
	is.Equal(e.Decide(now.Add(long)), elector.MakeClaim)
}

func TestReleasedLeadershipIsClaimedSoon(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	e.Reached(now, 1)
	e.Take(now, 0, elector.Claim{Holder: "b", Life: "1", Epoch: 1})
	e.Take(now, 1, elector.Claim{Holder: "b", Life: "1", Epoch: 1, Released: true})
	is.Equal(e.Leader(), "")
	is.Equal(e.Decide(now.Add(time.Second/2)), elector.MakeClaim)
}

func TestOwnEarlierLifeIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "2"}
	e.Reached(now, 1)
	e.Take(now, 0, elector.Claim{Holder: "a", Life: "1", Epoch: 1})
	is.True(!e.Leading())
	is.Equal(e.Decide(now.Add(time.Millisecond)), elector.MakeClaim)
}

func TestOlderEpochChangesNothing(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	e.Reached(now, 5)
	e.Take(now, 4, elector.Claim{Holder: "a", Life: "1", Epoch: 5})
	e.Take(now, 5, elector.Claim{Holder: "b", Life: "1", Epoch: 1}) // a renewal that came late
	is.True(e.Leading())
	is.Equal(e.Next(), int64(6)) // appends must not be made at the old end
}

func TestLeavingVMClaimsNothing(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	e.Reached(now, 0)
	e.Leave()
	is.Equal(e.Decide(now.Add(long)), elector.Nothing)
}

func TestReleasedLeadershipGoesOnUntilItIsClaimed(t *testing.T) {
	is := is.New(t)
	now := start()
	e := elector.Elector{Self: "a", Life: "1"}
	e.Reached(now, 1)
	e.Take(now, 0, elector.Claim{Holder: "a", Life: "1", Epoch: 1})
	e.Leave()
	e.Take(now, 1, elector.Claim{Holder: "a", Life: "1", Epoch: 1, Released: true})
	is.True(e.Leading())
	is.Equal(e.Leader(), "")
	is.Equal(e.Decide(now.Add(long)), elector.Nothing) // a renewal would look like a change of mind
	e.Take(now, 2, elector.Claim{Holder: "b", Life: "1", Epoch: 3})
	is.True(!e.Leading())
}
