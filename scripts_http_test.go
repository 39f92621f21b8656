package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// exchanged is one request and its answer.
type exchanged struct {
	status int
	header http.Header
	body   string
	failed error
}

func (e exchanged) err() error {
	if e.failed != nil {
		return e.failed
	}
	if e.status >= http.StatusBadRequest {
		return fmt.Errorf("status %d: %s", e.status, e.body)
	}
	return nil
}

var client = &http.Client{Timeout: deadline / 3}

// request sends a request; each header is "NAME: VALUE". $NAME stands for a
// variable of the script in each argument.
func request(t *testscript.TestScript, method, url, body string, headers ...string) exchanged {
	r, err := http.NewRequest(method, os.Expand(url, t.Getenv), strings.NewReader(os.Expand(body, t.Getenv)))
	if err != nil {
		return exchanged{failed: err}
	}
	for _, h := range headers {
		k, v, _ := strings.Cut(os.Expand(h, t.Getenv), ": ")
		r.Header.Set(k, v)
	}
	a, err := client.Do(r)
	if err != nil {
		return exchanged{failed: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return exchanged{status: a.StatusCode, header: a.Header, body: string(b), failed: err}
}

// show writes an answer to standard output and to the file answer.
func show(t *testscript.TestScript, neg bool, e exchanged) {
	if e.failed == nil {
		fmt.Fprintf(t.Stdout(), "status %d\n", e.status)
		_ = e.header.Write(t.Stdout())
		fmt.Fprintln(t.Stdout(), e.body)
		t.Check(os.WriteFile(t.MkAbs("answer"), []byte(e.body), 0o600))
	}
	if err := e.err(); (err != nil) != neg {
		t.Fatalf("failed: %v, wanted to: %v: %v", err != nil, neg, err)
	}
}

// cmdGet sends a GET request: [!] get URL [HEADER...].
func cmdGet(t *testscript.TestScript, neg bool, a []string) {
	show(t, neg, request(t, http.MethodGet, a[0], "", a[1:]...))
}

// cmdPost sends a POST request: [!] post URL BODY [HEADER...].
func cmdPost(t *testscript.TestScript, neg bool, a []string) {
	show(t, neg, request(t, http.MethodPost, a[0], a[1], a[2:]...))
}

// cmdControl makes a stand-in fail: control NAME JSON.
func cmdControl(t *testscript.TestScript, _ bool, a []string) {
	t.Check(request(t, http.MethodPost, "http://"+t.Getenv(a[0])+"/control", a[1]).err())
}

// cmdWaitFor asks until the status and body match a pattern: wait-for URL PATTERN
// [HEADER...].
func cmdWaitFor(t *testscript.TestScript, _ bool, a []string) {
	p := regexp.MustCompile(os.Expand(a[1], t.Getenv))
	var last string
	for end := time.Now().Add(deadline); time.Now().Before(end); {
		e := request(t, http.MethodGet, a[0], "", a[2:]...)
		last = fmt.Sprintf("status %d %s %v", e.status, e.body, e.failed)
		if p.MatchString(last) {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("%s never matched %s; it was last: %s", a[0], a[1], last)
}

const pollInterval = 100 * time.Millisecond

// cmdExpectJSON compares a field of a JSON file: [!] expect-json FILE PATH VALUE.
// The path is names and numbers with dots between, "length" at its end is a length.
func cmdExpectJSON(t *testscript.TestScript, neg bool, a []string) {
	if got := fields(t, a[0], a[1]); (got == os.Expand(a[2], t.Getenv)) == neg {
		t.Fatalf("%s is %s", a[1], got)
	}
}

// cmdSetJSON keeps a field of a JSON file in a variable: set-json NAME FILE PATH.
func cmdSetJSON(t *testscript.TestScript, _ bool, a []string) {
	t.Setenv(a[0], fields(t, a[1], a[2]))
}

// fields returns the field at a path of a JSON file.
func fields(t *testscript.TestScript, file, path string) string {
	var v any
	t.Check(json.Unmarshal([]byte(t.ReadFile(file)), &v))
	for _, k := range strings.Split(path, ".") {
		v = field(v, k)
	}
	return fmt.Sprint(v)
}

// field returns one step of a path, nil when there is none.
func field(v any, k string) any {
	switch x := v.(type) {
	case map[string]any:
		return x[k]
	case []any:
		if k == "length" {
			return len(x)
		}
		var i int
		if _, err := fmt.Sscan(k, &i); err == nil && i < len(x) {
			return x[i]
		}
	}
	return nil
}

// cmdPublish publishes new files through an entry VM: publish NAME FILE...
func cmdPublish(t *testscript.TestScript, _ bool, a []string) {
	c := publisher.Change{ID: fmt.Sprintf("change-%d", time.Now().UnixNano()), Created: time.Now()}
	for _, f := range a[1:] {
		c.Files = append(c.Files, publisher.FileChange{Name: f, Content: os.Expand(t.ReadFile(f), t.Getenv)})
	}
	b, err := json.Marshal(c)
	t.Check(err)
	e := request(t, http.MethodPost, "http://"+t.Getenv(a[0])+publisher.PathChanges, string(b), "Authorization: Bearer "+operatorKey)
	t.Check(e.err())
}
