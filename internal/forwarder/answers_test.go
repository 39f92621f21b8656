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

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/prober"
)

func TestAnswers(t *testing.T) {
	a, err := txtar.ParseFile("testdata/answers.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
			script := string(f.Data)
			if only, ok := strings.CutPrefix(strings.SplitN(script, "\n", 2)[0], "protocol "); ok && only != string(p) {
				continue
			}
			t.Run(f.Name+"/"+string(p), func(t *testing.T) { play(t, p, script) })
		}
	}
}

// stage is what a script runs on.
type stage struct {
	behaviours []string
	runs       atomic.Int64
	peers      sync.Map // remote addresses of the connections to executors
	executors  int
	bench      *bench
	status     int
	body       string
	problem    refuser.ProblemError
}

func play(t *testing.T, p prober.Protocol, script string) {
	s := &stage{executors: 2}
	for line := range strings.SplitSeq(strings.TrimSuffix(script, "\n"), "\n") {
		command, rest, _ := strings.Cut(line, " ")
		s.step(t, p, command, rest)
	}
}

func (s *stage) step(t *testing.T, p prober.Protocol, command, rest string) {
	t.Helper()
	is := is.New(t)
	switch command {
	case "protocol":
	case "executors":
		s.executors, _ = strconv.Atoi(rest)
	case "behave":
		s.behaviours = strings.Fields(rest)
	case "post":
		s.post(t, p, http.MethodPost, rest)
	case "get":
		s.post(t, p, http.MethodGet, rest)
	case "connections":
		seen := 0
		s.peers.Range(func(any, any) bool { seen++; return true })
		is.Equal(strconv.Itoa(seen), rest)
	case "post-key":
		key, rest, _ := strings.Cut(rest, " ")
		if key == "now" {
			key = fmt.Sprintf("%d-abcdefgh", time.Now().Unix())
		}
		s.post(t, p, http.MethodPost, rest, connector.HeaderIdempotencyKey, key)
	case "answer":
		is.Equal(fmt.Sprintf("%d %s", s.status, s.body), rest)
	case "refused":
		is.Equal(fmt.Sprintf("%d %s %s", s.status, s.problem.Code, s.problem.Outcome), rest)
	case "runs":
		is.Equal(strconv.FormatInt(s.runs.Load(), 10), rest)
	default:
		t.Fatalf("unknown command %q", command)
	}
}

func (s *stage) post(t *testing.T, p prober.Protocol, method, rest string, headers ...string) {
	t.Helper()
	if s.bench == nil {
		s.open(t, p)
	}
	path, body, _ := strings.Cut(rest, " ")
	if n, what, ok := strings.Cut(body, "*"); ok {
		times, _ := strconv.Atoi(n)
		body = strings.Repeat(what, times)
	}
	s.status, s.body, s.problem = s.bench.call(t.Context(), t, method, path, body, headers...)
}

func (s *stage) open(t *testing.T, p prober.Protocol) {
	t.Helper()
	if s.executors == 0 { // an address at which nobody listens any more
		v := newListener(t)
		address := v.Addr().String()
		_ = v.Close()
		s.bench = benchAt(t, p, address)
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
	s.bench = newBench(t, p, handlers...)
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
