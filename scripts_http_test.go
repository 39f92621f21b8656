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

// response is the response to a request, or the error that prevented it.
type response struct {
	status       int
	header       http.Header
	body         string
	transportErr error
}

func (e response) err() error {
	if e.transportErr != nil {
		return e.transportErr
	}
	if e.status >= http.StatusBadRequest {
		return fmt.Errorf("status %d: %s", e.status, e.body)
	}
	return nil
}

var client = &http.Client{Timeout: waitTimeout / 3}

// request sends a request; each header is "NAME: VALUE". Variables of the script ($NAME)
// are expanded in the URL, the body and the headers.
func request(t *testscript.TestScript, method, url, body string, headers ...string) response {
	r, err := http.NewRequest(method, os.Expand(url, t.Getenv), strings.NewReader(os.Expand(body, t.Getenv)))
	if err != nil {
		return response{transportErr: err}
	}
	for _, h := range headers {
		k, v, _ := strings.Cut(os.Expand(h, t.Getenv), ": ")
		r.Header.Set(k, v)
	}
	a, err := client.Do(r)
	if err != nil {
		return response{transportErr: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, header: a.Header, body: string(b), transportErr: err}
}

// printResponse writes a response to the script's standard output and its body to the
// file "answer". It fails the script if the request failed, or, with neg set, if it
// succeeded.
func printResponse(t *testscript.TestScript, neg bool, e response) {
	if e.transportErr == nil {
		fmt.Fprintf(t.Stdout(), "status %d\n", e.status)
		_ = e.header.Write(t.Stdout())
		fmt.Fprintln(t.Stdout(), e.body)
		t.Check(os.WriteFile(t.MkAbs("answer"), []byte(e.body), 0o600))
	}
	if err := e.err(); (err != nil) != neg {
		t.Fatalf("request failed: %v, want failure: %v: %v", err != nil, neg, err)
	}
}

// cmdGet sends a GET request: [!] get URL [HEADER...].
func cmdGet(t *testscript.TestScript, neg bool, a []string) {
	printResponse(t, neg, request(t, http.MethodGet, a[0], "", a[1:]...))
}

// cmdPost sends a POST request: [!] post URL BODY [HEADER...].
func cmdPost(t *testscript.TestScript, neg bool, a []string) {
	printResponse(t, neg, request(t, http.MethodPost, a[0], a[1], a[2:]...))
}

// cmdControl injects faults into a stand-in: control NAME JSON.
func cmdControl(t *testscript.TestScript, _ bool, a []string) {
	t.Check(request(t, http.MethodPost, "http://"+t.Getenv(a[0])+"/control", a[1]).err())
}

// cmdWaitFor repeats a GET request until the status and body match a pattern:
// wait-for URL PATTERN [HEADER...].
func cmdWaitFor(t *testscript.TestScript, _ bool, a []string) {
	p := regexp.MustCompile(os.Expand(a[1], t.Getenv))
	var last string
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		e := request(t, http.MethodGet, a[0], "", a[2:]...)
		last = fmt.Sprintf("status %d %s %v", e.status, e.body, e.transportErr)
		if p.MatchString(last) {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("%s did not match %s before the timeout; last response: %s", a[0], a[1], last)
}

const pollInterval = 100 * time.Millisecond

// cmdExpectJSON compares a field of a JSON file: [!] expect-json FILE PATH VALUE. PATH is
// keys and array indices separated by dots; "length" is the length of an array.
func cmdExpectJSON(t *testscript.TestScript, neg bool, a []string) {
	if got := jsonField(t, a[0], a[1]); (got == os.Expand(a[2], t.Getenv)) == neg {
		t.Fatalf("%s is %s", a[1], got)
	}
}

// cmdSetJSON sets a variable to a field of a JSON file: set-json NAME FILE PATH.
func cmdSetJSON(t *testscript.TestScript, _ bool, a []string) {
	t.Setenv(a[0], jsonField(t, a[1], a[2]))
}

// jsonField returns the value at a path of a JSON file.
func jsonField(t *testscript.TestScript, file, path string) string {
	var v any
	t.Check(json.Unmarshal([]byte(t.ReadFile(file)), &v))
	for _, k := range strings.Split(path, ".") {
		v = jsonChild(v, k)
	}
	return fmt.Sprint(v)
}

// jsonChild returns the element k of v, nil if there is none.
func jsonChild(v any, k string) any {
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

// cmdPublish publishes new configuration files through an entry VM: publish NAME FILE...
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
