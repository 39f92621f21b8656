package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

const (
	defaultLimit = 500             // records of one read
	maxWait      = 1 * time.Minute // of one read
)

// LogControl is what POST /control on a log can ask for.
type LogControl struct {
	Down         bool  `json:"down"`          // refuse everything with 503, before any effect
	SlowMS       int64 `json:"slow-ms"`       // wait before each request is taken
	LoseAnswers  int   `json:"lose-answers"`  // the next appends take effect and are not answered
	LoseRequests int   `json:"lose-requests"` // the next appends have no effect and are not answered
	Late         int   `json:"late"`          // the next appends are not answered, and take effect late-ms later
	LateMS       int64 `json:"late-ms"`
	ExpireBefore int64 `json:"expire-before"` // records below this offset are no longer kept, in all streams
	KeepCount    int   `json:"keep-count"`    // newest records kept per stream, 0 for all
	KeepMS       int64 `json:"keep-ms"`       // age up to which records are kept, 0 for ever
	Corrupt      int   `json:"corrupt"`       // the next records appended are stored broken
}

// Log is the platform's append-only log service.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	control control[LogControl]
	mux     *http.ServeMux
}

// stream is one stream of the log.
type stream struct {
	records []connector.LogRecord
	next    int64
	first   int64
	grown   chan struct{} // closed when records are added
}

// NewLog returns a log without streams; a stream begins with its first append.
func NewLog() *Log {
	l := &Log{streams: map[string]*stream{}, mux: http.NewServeMux()}
	l.mux.Handle("/control", &l.control)
	l.mux.HandleFunc("POST /streams/{stream}/records", l.append)
	l.mux.HandleFunc("GET /streams/{stream}/records", l.read)
	return l
}

// ServeHTTP answers one request.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// admit lets the failures that hold for every request act.
func (l *Log) admit(w http.ResponseWriter, r *http.Request) bool {
	pause(r.Context(), milliseconds(l.control.get().SlowMS))
	if l.control.get().Down {
		w.Header().Set(connector.HeaderOutcome, "not-run")
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// loss is what becomes of an append.
type loss int

const (
	lossNone loss = iota
	lossAnswer
	lossRequest
	lossLate
)

// draw takes one of the losses that were asked for.
func (l *Log) draw() loss {
	d := lossNone
	l.control.update(func(c *LogControl) {
		switch {
		case c.LoseRequests > 0:
			c.LoseRequests--
			d = lossRequest
		case c.LoseAnswers > 0:
			c.LoseAnswers--
			d = lossAnswer
		case c.Late > 0:
			c.Late--
			d = lossLate
		}
	})
	return d
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	var a connector.AppendRequest
	if !decode(w, r, &a) {
		return
	}
	switch d := l.draw(); d {
	case lossRequest:
		drop()
	case lossLate:
		late := milliseconds(l.control.get().LateMS)
		time.AfterFunc(late, func() { l.add(r.PathValue("stream"), a.Records) })
		drop()
	default:
		offset := l.add(r.PathValue("stream"), a.Records)
		if d == lossAnswer {
			drop()
		}
		answer(w, http.StatusOK, connector.AppendResponse{Offset: offset})
	}
}

// add stores the records and returns the offset of the first.
func (l *Log) add(name string, records []json.RawMessage) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next
	for _, d := range records {
		l.control.update(func(c *LogControl) {
			if c.Corrupt > 0 {
				c.Corrupt--
				d = json.RawMessage(`"broken"`)
			}
		})
		s.records = append(s.records, connector.LogRecord{Offset: s.next, AppendedMS: time.Now().UnixMilli(), Data: d})
		s.next++
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// stream returns a stream, which begins when it is first named.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{next: 1, first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	from := number(r, "from", 1)
	limit := int(number(r, "limit", defaultLimit))
	wait := min(milliseconds(number(r, "wait-ms", 0)), maxWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		a, grown := l.page(r.PathValue("stream"), from, limit)
		if len(a.Records) > 0 {
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-grown:
		case <-t.C:
			answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the records from an offset on, and a channel that is closed when
// there are more.
func (l *Log) page(name string, from int64, limit int) (connector.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.expire(time.Now(), l.control.get())
	a := connector.ReadResponse{First: s.first, Next: s.next, Records: []connector.LogRecord{}}
	start := max(from, s.first) - s.first
	if start < int64(len(s.records)) {
		end := min(start+int64(limit), int64(len(s.records)))
		a.Records = append(a.Records, s.records[start:end]...)
	}
	return a, s.grown
}

// expire drops the records that are no longer kept.
func (s *stream) expire(now time.Time, c LogControl) {
	n := 0
	for n < len(s.records) && s.expired(now, c, n) {
		n++
	}
	s.records = s.records[n:]
	s.first += int64(n)
}

// expired reports whether record n is no longer kept.
func (s *stream) expired(now time.Time, c LogControl, n int) bool {
	r := s.records[n]
	byCount := c.KeepCount > 0 && len(s.records)-n > c.KeepCount
	byAge := c.KeepMS > 0 && now.UnixMilli()-r.AppendedMS > c.KeepMS
	return byCount || byAge || r.Offset < c.ExpireBefore
}

// number returns a query parameter, or the default when it is missing or wrong.
func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// Keep limits the records that are kept per stream, by count and by age; 0 is no
// limit.
func (l *Log) Keep(count int, ms int64) {
	l.control.update(func(c *LogControl) { c.KeepCount, c.KeepMS = count, ms })
}
