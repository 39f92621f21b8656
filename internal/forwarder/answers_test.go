package forwarder_test

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/prober"
)

func TestAnswers(t *testing.T) {
	scripter.Scripts(t, "testdata/answers.txtar", func(t *testing.T, script scripter.Script) {
		for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
			first, _, _ := strings.Cut(script.Text, "\n")
			if only, ok := strings.CutPrefix(first, "protocol "); ok && only != string(p) {
				continue
			}
			t.Run(string(p), func(t *testing.T) {
				s := &stage{t: t, protocol: p, executors: 2}
				script.Play(t, s.commands(), func(line string, do func() error) error {
					_, s.words, _ = strings.Cut(line, " ")
					return do()
				})
			})
		}
	})
}

// stage is what a script runs on.
type stage struct {
	t          *testing.T
	protocol   prober.Protocol
	words      string // of the line after its command, with the spaces between and behind them
	behaviours []string
	runs       atomic.Int64
	peers      sync.Map // remote addresses of the connections to executors
	executors  int
	bench      *bench
	status     int
	body       string
	problem    refuser.ProblemError
}

func (s *stage) commands() scripter.Commands {
	return scripter.Commands{
		"protocol":  func(string) {}, // read before the script is run
		"executors": func(n int) { s.executors = n },
		"behave":    func(names ...string) { s.behaviours = names },
		"post":      func(path string, body ...string) { s.post(http.MethodPost, path, body) },
		"get":       func(path string, body ...string) { s.post(http.MethodGet, path, body) },
		"connections": func(n int) error {
			seen := 0
			s.peers.Range(func(any, any) bool { seen++; return true })
			return equal(seen, n)
		},
		"post-key": func(key, path string, body ...string) {
			if key == "now" {
				key = fmt.Sprintf("%d-abcdefgh", time.Now().Unix())
			}
			s.post(http.MethodPost, path, body, connector.HeaderIdempotencyKey, key)
		},
		"answer": func(...string) error { return equal(fmt.Sprintf("%d %s", s.status, s.body), s.words) },
		"refused": func(...string) error {
			return equal(fmt.Sprintf("%d %s %s", s.status, s.problem.Code, s.problem.Outcome), s.words)
		},
		"runs": func(n int64) error { return equal(s.runs.Load(), n) },
	}
}

func equal[T comparable](got, want T) error {
	if got != want {
		return fmt.Errorf("got %v", got)
	}
	return nil
}

func (s *stage) post(method, path string, words []string, headers ...string) {
	if s.bench == nil {
		s.open()
	}
	body := strings.Join(words, " ")
	if n, what, ok := strings.Cut(body, "*"); ok {
		times, _ := strconv.Atoi(n)
		body = strings.Repeat(what, times)
	}
	s.status, s.body, s.problem = s.bench.call(s.t.Context(), s.t, method, path, body, headers...)
}

func (s *stage) open() {
	if s.executors == 0 { // an address at which nobody listens any more
		v := newListener(s.t)
		address := v.Addr().String()
		_ = v.Close()
		s.bench = benchAt(s.t, s.protocol, address)
		return
	}
	h := func(w http.ResponseWriter, r *http.Request) {
		n := int(s.runs.Add(1))
		s.peers.Store(r.RemoteAddr, true)
		behave(s.behaviours[min(n, len(s.behaviours))-1], w, r)
	}
	handlers := make([]http.HandlerFunc, s.executors)
	for i := range handlers {
		handlers[i] = h
	}
	s.bench = newBench(s.t, s.protocol, handlers...)
}

// behave answers a request as the named behaviour does.
func behave(name string, w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get(connector.HeaderRequestID)
	h.Set(connector.HeaderRequestID, id)
	b, _ := io.ReadAll(r.Body)
	b = append([]byte(r.URL.Path+" "), b...)
	switch name {
	case "ok":
		_, _ = w.Write(b)
	case "crossed", "refuses-crossed":
		h.Set(connector.HeaderRequestID, "another")
		if name == "crossed" {
			_, _ = w.Write([]byte("of another caller"))
			return
		}
		refuseRun(w)
	case "crossed-empty":
		h.Set(connector.HeaderRequestID, "another")
		h.Set("Content-Length", "0")
	case "no-id":
		h.Del(connector.HeaderRequestID)
		_, _ = w.Write(b)
	case "refuses":
		refuseRun(w)
	case "leaving":
		h.Set(connector.HeaderState, "leaving")
		refuseRun(w)
	case "fails":
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("failed"))
	case "late":
		<-r.Context().Done() // ends when the attempt is given up
		_, _ = w.Write([]byte("late"))
	case "dropped":
		panic(http.ErrAbortHandler)
	default:
		garble(name, w, id, b)
	}
}

func refuseRun(w http.ResponseWriter) {
	w.Header().Set(connector.HeaderOutcome, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// garble answers with less, or more, than the whole.
func garble(name string, w http.ResponseWriter, id string, b []byte) {
	h := w.Header()
	sum := sha256.Sum256(b)
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	switch name {
	case "truncated":
		h.Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "shortened":
		h.Set(connector.HeaderDigest, digest)
		_, _ = w.Write(b[:len(b)/2])
	case "malformed-digest":
		h.Set(connector.HeaderDigest, "sha-256=milk")
		_, _ = w.Write(b)
	case "digest":
		h.Set(connector.HeaderDigest, "sha-512=:AAAA:, "+digest)
		_, _ = w.Write(b)
	case "too-large", "too-large-unsized":
		if name == "too-large" {
			h.Set("Content-Length", strconv.Itoa(1<<17))
		}
		_, _ = w.Write(make([]byte, 1<<17))
	case "doubled", "no-length":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		head := "HTTP/1.1 200 OK\r\nLacewingdoor-Request-Id: " + id + "\r\n"
		if name == "no-length" {
			_, _ = fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, b)
			return
		}
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
		_, _ = io.WriteString(c, whole+whole)
	default:
		panic("unknown behaviour " + name)
	}
}
