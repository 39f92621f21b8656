package standin

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// ListControl is the body of POST /control on a list.
type ListControl struct {
	Down    bool                 `json:"down"`    // respond to GET /vms with status 503
	SlowMS  int64                `json:"slow-ms"` // delay before each response to GET /vms
	LagMS   int64                `json:"lag-ms"`  // delay until a change becomes visible
	Set     []connector.ListedVM `json:"set"`     // rows to add, or to replace by id
	Remove  []string             `json:"remove"`  // ids of the rows to remove
	Leaving []string             `json:"leaving"` // ids of the rows to mark as leaving
}

// List is a stand-in for the platform's list of VMs.
type List struct {
	mu          sync.Mutex
	control     control[ListControl]
	rows        []connector.ListedVM // current rows
	pending     []listChange         // changes not visible yet, oldest first
	visibleRows []connector.ListedVM // rows that GET /vms returns
	mux         *http.ServeMux
}

// listChange holds the rows that become visible at a given time.
type listChange struct {
	visibleFrom time.Time
	rows        []connector.ListedVM
}

// NewList returns an empty list.
func NewList() *List {
	l := &List{mux: http.NewServeMux(), visibleRows: []connector.ListedVM{}}
	l.mux.HandleFunc("GET /vms", l.handleVMs)
	l.mux.HandleFunc("POST /register", l.handleRegister)
	l.mux.HandleFunc("POST /deregister", l.handleDeregister)
	l.mux.HandleFunc("/control", l.handleControl)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *List) handleVMs(w http.ResponseWriter, r *http.Request) {
	c := l.control.get()
	sleep(r.Context(), milliseconds(c.SlowMS))
	if c.Down {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	rows := connector.ListResponse{VMs: l.visibleAt(time.Now())}
	b, err := json.Marshal(rows)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%x", sha256.Sum256(b)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, rows)
}

// visibleAt returns the visible rows: those of the latest change whose lag has
// passed. It includes all earlier changes, even those whose own lag has not passed.
func (l *List) visibleAt(now time.Time) []connector.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range slices.Backward(l.pending) {
		if !now.Before(c.visibleFrom) {
			l.visibleRows = c.rows
			l.pending = l.pending[i+1:]
			break
		}
	}
	return l.visibleRows
}

func (l *List) handleRegister(w http.ResponseWriter, r *http.Request) {
	var v connector.ListedVM
	if !decode(w, r, &v) {
		return
	}
	l.apply(time.Now(), ListControl{Set: []connector.ListedVM{v}})
	writeJSON(w, http.StatusOK, v)
}

func (l *List) handleDeregister(w http.ResponseWriter, r *http.Request) {
	var v connector.DeregisterRequest
	if !decode(w, r, &v) {
		return
	}
	l.apply(time.Now(), ListControl{Remove: []string{v.ID}})
	writeJSON(w, http.StatusOK, v)
}

// handleControl handles /control; row changes are applied once, the other settings persist.
func (l *List) handleControl(w http.ResponseWriter, r *http.Request) {
	l.control.ServeHTTP(w, r)
	var c ListControl
	l.control.update(func(v *ListControl) {
		c = *v
		v.Set, v.Remove, v.Leaving = nil, nil, nil
	})
	l.apply(time.Now(), c)
}

// apply changes the rows; the change becomes visible after the lag.
func (l *List) apply(now time.Time, c ListControl) {
	lag := milliseconds(l.control.get().LagMS)
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := slices.Clone(l.rows)
	rows = slices.DeleteFunc(rows, func(v connector.ListedVM) bool {
		replaced := slices.ContainsFunc(c.Set, func(s connector.ListedVM) bool { return s.ID == v.ID })
		return replaced || slices.Contains(c.Remove, v.ID)
	})
	rows = append(rows, c.Set...)
	for i := range rows {
		rows[i].Leaving = rows[i].Leaving || slices.Contains(c.Leaving, rows[i].ID)
	}
	slices.SortFunc(rows, func(a, b connector.ListedVM) int { return cmp.Compare(a.ID, b.ID) })
	l.rows = rows
	l.pending = append(l.pending, listChange{visibleFrom: now.Add(lag), rows: rows})
}

// SetLag sets the delay in milliseconds until a change becomes visible.
func (l *List) SetLag(ms int64) {
	l.control.update(func(c *ListControl) { c.LagMS = ms })
}
