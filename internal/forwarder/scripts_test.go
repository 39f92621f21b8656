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

// TestForwardingScripts runs the scripts in testdata/answers.txtar, each with executors
// that use HTTP/1.1 and HTTP/2.
func TestForwardingScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/answers.txtar", func(t *testing.T, script scripter.Script) {
		for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
			firstLine, _, _ := strings.Cut(script.Text, "\n")
			if only, ok := strings.CutPrefix(firstLine, "protocol "); ok && only != string(p) {
				continue
			}
			t.Run(string(p), func(t *testing.T) {
				s := &scriptRun{t: t, protocol: p, executors: 2}
				script.Play(t, s.commands(), func(line string, do func() error) error {
					_, s.rawArgs, _ = strings.Cut(line, " ")
					return do()
				})
			})
		}
	})
}

// scriptRun is the state of a running script.
type scriptRun struct {
	t           *testing.T
	protocol    prober.Protocol
	rawArgs     string // rest of the line after the command, with inner and trailing spaces
	behaviours  []string
	runs        atomic.Int64
	remoteAddrs sync.Map // client addresses of the connections to executors
	executors   int
	entry       *testEntry
	status      int
	body        string
	problem     refuser.ProblemError
}

func (s *scriptRun) commands() scripter.Commands {
	return scripter.Commands{
		"protocol":  func(string) {}, // read by TestForwardingScripts
		"executors": func(n int) { s.executors = n },
		"behave":    func(names ...string) { s.behaviours = names },
		"post":      func(path string, body ...string) { s.send(http.MethodPost, path, body) },
		"get":       func(path string, body ...string) { s.send(http.MethodGet, path, body) },
		"connections": func(n int) error {
			seen := 0
			s.remoteAddrs.Range(func(any, any) bool { seen++; return true })
			return checkEqual(seen, n)
		},
		"post-key": func(key, path string, body ...string) {
			if key == "now" {
				key = fmt.Sprintf("%d-abcdefgh", time.Now().Unix())
			}
			s.send(http.MethodPost, path, body, connector.HeaderIdempotencyKey, key)
		},
		"answer": func(...string) error { return checkEqual(fmt.Sprintf("%d %s", s.status, s.body), s.rawArgs) },
		"refused": func(...string) error {
			return checkEqual(fmt.Sprintf("%d %s %s", s.status, s.problem.Code, s.problem.Outcome), s.rawArgs)
		},
		"runs": func(n int64) error { return checkEqual(s.runs.Load(), n) },
	}
}

func checkEqual[T comparable](got, want T) error {
	if got != want {
		return fmt.Errorf("got %v", got)
	}
	return nil
}

func (s *scriptRun) send(method, path string, words []string, headers ...string) {
	if s.entry == nil {
		s.startEntry()
	}
	body := strings.Join(words, " ")
	if n, text, ok := strings.Cut(body, "*"); ok {
		count, _ := strconv.Atoi(n)
		body = strings.Repeat(text, count)
	}
	s.status, s.body, s.problem = s.entry.call(s.t.Context(), s.t, method, path, body, headers...)
}

func (s *scriptRun) startEntry() {
	if s.executors == 0 { // use an address without a listener
		v := newListener(s.t)
		address := v.Addr().String()
		_ = v.Close()
		s.entry = newTestEntryAt(s.t, s.protocol, address)
		return
	}
	h := func(w http.ResponseWriter, r *http.Request) {
		n := int(s.runs.Add(1))
		s.remoteAddrs.Store(r.RemoteAddr, true)
		respond(s.behaviours[min(n, len(s.behaviours))-1], w, r)
	}
	handlers := make([]http.HandlerFunc, s.executors)
	for i := range handlers {
		handlers[i] = h
	}
	s.entry = newTestEntry(s.t, s.protocol, handlers...)
}

// respond answers a request according to the named behaviour.
func respond(name string, w http.ResponseWriter, r *http.Request) {
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
			_, _ = w.Write([]byte("response for another caller"))
			return
		}
		writeNotRun(w)
	case "crossed-empty":
		h.Set(connector.HeaderRequestID, "another")
		h.Set("Content-Length", "0")
	case "no-id":
		h.Del(connector.HeaderRequestID)
		_, _ = w.Write(b)
	case "refuses":
		writeNotRun(w)
	case "leaving":
		h.Set(connector.HeaderState, "leaving")
		writeNotRun(w)
	case "fails":
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("failed"))
	case "late":
		<-r.Context().Done() // until the entry VM abandons the attempt
		_, _ = w.Write([]byte("late"))
	case "dropped":
		panic(http.ErrAbortHandler)
	default:
		respondMalformed(name, w, id, b)
	}
}

// writeNotRun refuses a request with the outcome not-run.
func writeNotRun(w http.ResponseWriter) {
	w.Header().Set(connector.HeaderOutcome, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondMalformed writes a truncated, oversized or otherwise unusual response.
func respondMalformed(name string, w http.ResponseWriter, id string, b []byte) {
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
		response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
		_, _ = io.WriteString(c, response+response)
	default:
		panic("unknown behaviour " + name)
	}
}
