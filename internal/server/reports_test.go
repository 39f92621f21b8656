package server

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// reading returns what a renewing VM reports of a worker with one task.
func reading(t *testing.T, s leaser.State, whole bool) *peerv1.Reading {
	t.Helper()
	i := leaser.Inventory{Worker: "w", Leases: []leaser.Lease{{ID: leaser.ID{Job: "a:1", Attempt: 1}, State: s}}}.WithMark()
	e := &peerv1.Reading{Worker: "w", Mark: i.Mark}
	if whole {
		b, err := json.Marshal(i)
		if err != nil {
			t.Fatal(err)
		}
		e.Inventory = b
	}
	return e
}

func taken(t *testing.T, s *Server) leaser.Inventory {
	t.Helper()
	m, ok := (<-s.inbox).(eventMessage)
	if !ok {
		t.Fatal("not an event")
	}
	return m.event.(reducer.WorkerReported).Inventory
}

func TestReportsOfOneWorkerShareNoMemory(t *testing.T) {
	is := is.New(t)
	s := &Server{inbox: make(chan message, 8)}
	r := newReporter(s)
	ok, err := r.take(reading(t, leaser.StateRunning, true))
	is.NoErr(err)
	is.True(ok)
	first := taken(t, s)
	_, err = r.take(reading(t, leaser.StateSucceeded, true))
	is.NoErr(err)
	is.Equal(taken(t, s).Leases[0].State, leaser.StateSucceeded)
	is.Equal(first.Leases[0].State, leaser.StateRunning) // what control holds does not change under it
}

func TestABriefReportNeedsTheInventoryOfItsMark(t *testing.T) {
	is := is.New(t)
	s := &Server{inbox: make(chan message, 8)}
	r := newReporter(s)
	ok, err := r.take(reading(t, leaser.StateRunning, false))
	is.NoErr(err)
	is.True(!ok) // never taken: the reporting VM is to send it whole
	_, err = r.take(reading(t, leaser.StateRunning, true))
	is.NoErr(err)
	taken(t, s)
	ok, err = r.take(reading(t, leaser.StateRunning, false))
	is.NoErr(err)
	is.True(ok)
	is.Equal(len(taken(t, s).Leases), 1)
	ok, err = r.take(reading(t, leaser.StateFailed, false))
	is.NoErr(err)
	is.True(!ok) // another mark
}
