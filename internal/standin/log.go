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
	defaultReadLimit = 500             // records per read
	maxReadWait      = 1 * time.Minute // maximum wait-ms of a read
)

// LogControl is the body of POST /control on a log.
type LogControl struct {
	Down         bool  `json:"down"`          // respond to every request with status 503, without any effect
	SlowMS       int64 `json:"slow-ms"`       // delay before each request is processed
	LoseAnswers  int   `json:"lose-answers"`  // number of next appends that take effect but get no response
	LoseRequests int   `json:"lose-requests"` // number of next appends that have no effect and get no response
	Late         int   `json:"late"`          // number of next appends that get no response and take effect late-ms later
	LateMS       int64 `json:"late-ms"`
	ExpireBefore int64 `json:"expire-before"` // records below this offset are expired, in all streams
	KeepCount    int   `json:"keep-count"`    // newest records retained per stream, 0 for all
	KeepMS       int64 `json:"keep-ms"`       // maximum age of retained records in milliseconds, 0 for no limit
	Corrupt      int   `json:"corrupt"`       // number of next records that are stored corrupted
}

// Log is a stand-in for the platform's append-only log service.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	control control[LogControl]
	mux     *http.ServeMux
}

// stream holds the retained records of one stream.
type stream struct {
	records     []connector.LogRecord
	nextOffset  int64
	firstOffset int64
	appended    chan struct{} // closed at the next append
}

// NewLog returns a log without streams; a stream is created on first use.
func NewLog() *Log {
	l := &Log{streams: map[string]*stream{}, mux: http.NewServeMux()}
	l.mux.Handle("/control", &l.control)
	l.mux.HandleFunc("POST /streams/{stream}/records", l.handleAppend)
	l.mux.HandleFunc("GET /streams/{stream}/records", l.handleRead)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// admit applies the faults common to all requests and reports whether to process the request.
func (l *Log) admit(w http.ResponseWriter, r *http.Request) bool {
	sleep(r.Context(), milliseconds(l.control.get().SlowMS))
	if l.control.get().Down {
		w.Header().Set(connector.HeaderOutcome, "not-run")
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// appendLoss is a fault injected into an append.
type appendLoss int

const (
	lossNone appendLoss = iota
	lossAnswer
	lossRequest
	lossLate
)

// nextLoss consumes one of the requested losses.
func (l *Log) nextLoss() appendLoss {
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

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	var a connector.AppendRequest
	if !decode(w, r, &a) {
		return
	}
	switch d := l.nextLoss(); d {
	case lossRequest:
		dropConnection()
	case lossLate:
		late := milliseconds(l.control.get().LateMS)
		time.AfterFunc(late, func() { l.appendRecords(r.PathValue("stream"), a.Records) })
		dropConnection()
	default:
		offset := l.appendRecords(r.PathValue("stream"), a.Records)
		if d == lossAnswer {
			dropConnection()
		}
		writeJSON(w, http.StatusOK, connector.AppendResponse{Offset: offset})
	}
}

// appendRecords stores the records and returns the offset of the first one.
func (l *Log) appendRecords(name string, records []json.RawMessage) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(name)
	first := s.nextOffset
	for _, d := range records {
		l.control.update(func(c *LogControl) {
			if c.Corrupt > 0 {
				c.Corrupt--
				d = json.RawMessage(`"broken"`)
			}
		})
		s.records = append(s.records, connector.LogRecord{Offset: s.nextOffset, AppendedMS: time.Now().UnixMilli(), Data: d})
		s.nextOffset++
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// streamNamed returns a stream, which it creates on first use.
func (l *Log) streamNamed(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{nextOffset: 1, firstOffset: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	from := queryInt(r, "from", 1)
	limit := int(queryInt(r, "limit", defaultReadLimit))
	wait := min(milliseconds(queryInt(r, "wait-ms", 0)), maxReadWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		a, appended := l.readPage(r.PathValue("stream"), from, limit)
		if len(a.Records) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-appended:
		case <-t.C:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// readPage returns up to limit records from an offset, and a channel that is closed
// at the next append.
func (l *Log) readPage(name string, from int64, limit int) (connector.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(name)
	s.expire(time.Now(), l.control.get())
	a := connector.ReadResponse{First: s.firstOffset, Next: s.nextOffset, Records: []connector.LogRecord{}}
	start := max(from, s.firstOffset) - s.firstOffset
	if start < int64(len(s.records)) {
		end := min(start+int64(limit), int64(len(s.records)))
		a.Records = append(a.Records, s.records[start:end]...)
	}
	return a, s.appended
}

// expire removes the records outside the retention limits.
func (s *stream) expire(now time.Time, c LogControl) {
	n := 0
	for n < len(s.records) && s.expired(now, c, n) {
		n++
	}
	s.records = s.records[n:]
	s.firstOffset += int64(n)
}

// expired reports whether record n is outside the retention limits.
func (s *stream) expired(now time.Time, c LogControl, n int) bool {
	r := s.records[n]
	byCount := c.KeepCount > 0 && len(s.records)-n > c.KeepCount
	byAge := c.KeepMS > 0 && now.UnixMilli()-r.AppendedMS > c.KeepMS
	return byCount || byAge || r.Offset < c.ExpireBefore
}

// queryInt returns an integer query parameter, or the fallback if it is missing or invalid.
func queryInt(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// SetRetention limits the records retained per stream by count and by age in
// milliseconds; 0 means no limit.
func (l *Log) SetRetention(count int, ms int64) {
	l.control.update(func(c *LogControl) { c.KeepCount, c.KeepMS = count, ms })
}
