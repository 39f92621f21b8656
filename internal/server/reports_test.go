package server

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// reading returns a report on a worker with one task, with its full inventory or in
// brief.
func reading(t *testing.T, s leaser.State, full bool) *peerv1.Reading {
	t.Helper()
	i := leaser.Inventory{Worker: "w", Leases: []leaser.Lease{{ID: leaser.ID{Job: "a:1", Attempt: 1}, State: s}}}.WithMark()
	e := &peerv1.Reading{Worker: "w", Mark: i.Mark}
	if full {
		b, err := json.Marshal(i)
		if err != nil {
			t.Fatal(err)
		}
		e.Inventory = b
	}
	return e
}

func postedInventory(t *testing.T, s *Server) leaser.Inventory {
	t.Helper()
	m, ok := (<-s.inbox).(eventMessage)
	if !ok {
		t.Fatal("message is not an event")
	}
	return m.event.(reducer.WorkerReported).Inventory
}

// TestSuccessiveReportsOfAWorkerShareNoMemory guards against decoding a report into the
// inventory of an earlier one, which the control state still refers to.
func TestSuccessiveReportsOfAWorkerShareNoMemory(t *testing.T) {
	is := is.New(t)
	s := &Server{inbox: make(chan message, 8)}
	r := newReporter(s)
	ok, err := r.acceptReading(reading(t, leaser.StateRunning, true))
	is.NoErr(err)
	is.True(ok)
	first := postedInventory(t, s)
	_, err = r.acceptReading(reading(t, leaser.StateSucceeded, true))
	is.NoErr(err)
	is.Equal(postedInventory(t, s).Leases[0].State, leaser.StateSucceeded)
	is.Equal(first.Leases[0].State, leaser.StateRunning) // the earlier inventory is unchanged
}

// TestBriefReportRequiresInventoryWithItsMark guards against applying a brief report to
// a missing or different inventory: the sender must be asked for the full one.
func TestBriefReportRequiresInventoryWithItsMark(t *testing.T) {
	is := is.New(t)
	s := &Server{inbox: make(chan message, 8)}
	r := newReporter(s)
	ok, err := r.acceptReading(reading(t, leaser.StateRunning, false))
	is.NoErr(err)
	is.True(!ok) // no inventory stored yet: the reporting VM must send it in full
	_, err = r.acceptReading(reading(t, leaser.StateRunning, true))
	is.NoErr(err)
	postedInventory(t, s)
	ok, err = r.acceptReading(reading(t, leaser.StateRunning, false))
	is.NoErr(err)
	is.True(ok)
	is.Equal(len(postedInventory(t, s).Leases), 1)
	ok, err = r.acceptReading(reading(t, leaser.StateFailed, false))
	is.NoErr(err)
	is.True(!ok) // the marks differ
}
