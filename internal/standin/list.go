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

// ListControl is what POST /control on a list can ask for.
type ListControl struct {
	Down    bool                 `json:"down"`    // refuse everything with 503
	SlowMS  int64                `json:"slow-ms"` // wait before each answer
	LagMS   int64                `json:"lag-ms"`  // until a change is seen
	Set     []connector.ListedVM `json:"set"`     // rows that are added, or replaced by id
	Remove  []string             `json:"remove"`  // ids whose rows are removed
	Leaving []string             `json:"leaving"` // ids that are marked as leaving
}

// List is the platform's list of VMs.
type List struct {
	mu      sync.Mutex
	control control[ListControl]
	rows    []connector.ListedVM // as they are
	changes []listChange         // as they become visible, oldest first
	seen    []connector.ListedVM // what is shown
	mux     *http.ServeMux
}

// listChange is the state of the rows from a time on.
type listChange struct {
	from time.Time
	rows []connector.ListedVM
}

// NewList returns an empty list.
func NewList() *List {
	l := &List{mux: http.NewServeMux(), seen: []connector.ListedVM{}}
	l.mux.HandleFunc("GET /vms", l.read)
	l.mux.HandleFunc("POST /register", l.register)
	l.mux.HandleFunc("POST /deregister", l.deregister)
	l.mux.HandleFunc("/control", l.change)
	return l
}

// ServeHTTP answers one request.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *List) read(w http.ResponseWriter, r *http.Request) {
	c := l.control.get()
	pause(r.Context(), milliseconds(c.SlowMS))
	if c.Down {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	rows := connector.ListResponse{VMs: l.visible(time.Now())}
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
	answer(w, http.StatusOK, rows)
}

// visible returns the rows that are shown: those of the latest change whose lag
// is over. An earlier change is part of it, whatever its own lag.
func (l *List) visible(now time.Time) []connector.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range slices.Backward(l.changes) {
		if !now.Before(c.from) {
			l.seen = c.rows
			l.changes = l.changes[i+1:]
			break
		}
	}
	return l.seen
}

func (l *List) register(w http.ResponseWriter, r *http.Request) {
	var v connector.ListedVM
	if !decode(w, r, &v) {
		return
	}
	l.apply(time.Now(), ListControl{Set: []connector.ListedVM{v}})
	answer(w, http.StatusOK, v)
}

func (l *List) deregister(w http.ResponseWriter, r *http.Request) {
	var v connector.DeregisterRequest
	if !decode(w, r, &v) {
		return
	}
	l.apply(time.Now(), ListControl{Remove: []string{v.ID}})
	answer(w, http.StatusOK, v)
}

// change takes a control request; what changes rows is done once, the rest stays.
func (l *List) change(w http.ResponseWriter, r *http.Request) {
	l.control.ServeHTTP(w, r)
	var c ListControl
	l.control.update(func(v *ListControl) {
		c = *v
		v.Set, v.Remove, v.Leaving = nil, nil, nil
	})
	l.apply(time.Now(), c)
}

// apply changes the rows; the change is seen after the lag.
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
	l.changes = append(l.changes, listChange{from: now.Add(lag), rows: rows})
}

// Lag sets the milliseconds until a change is seen.
func (l *List) Lag(ms int64) {
	l.control.update(func(c *ListControl) { c.LagMS = ms })
}
