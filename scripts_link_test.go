package main_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// cmdLinked starts an entry VM whose outgoing connections all pass through a link stand-in
// of its own: linked NAME ZONE PEER... The link NAME-link has a route to the log, the list,
// each peer, and each listed worker and executor; the VM reads the addresses of these routes
// from a list of its own, NAME-list. The links of peers that already run get the route to
// this VM.
func cmdLinked(t *testscript.TestScript, _ bool, a []string) {
	name, zone, peers := a[0], a[1], a[2:]
	link, list := name+"-link", name+"-list"
	cmdStart(t, false, []string{list, "stand-in", "list"})
	to := map[string]string{"log": t.Getenv("log"), "list": t.Getenv(list)}
	routes := append([]string{"log", "list"}, peers...)
	vms := listedVMs(t)
	for _, r := range vms {
		routes = append(routes, r.ID)
		to[r.ID] = r.Address
	}
	for _, p := range peers {
		vms = append(vms, connector.ListedVM{ID: p, Role: connector.RoleEntry, Zone: zone})
		if v := t.Getenv(p + "_peers"); v != "" {
			to[p] = v
		}
	}
	cmdStart(t, false, append([]string{link, "stand-in", "link"}, routes...))
	controlLink(t, link, map[string]any{"to": to})
	for _, r := range vms {
		r.Address = t.Getenv(link + "_" + r.ID)
		registerVM(t, list, r)
	}
	s := writeSettings(t, name, zone, t.Getenv(link+"_log"), t.Getenv(link+"_list"), true)
	cmdStart(t, false, []string{name, "serve", "--settings", s})
	for _, p := range peers {
		if t.Getenv(p+"-link") != "" {
			controlLink(t, p+"-link", map[string]any{"to": map[string]string{name: t.Getenv(name + "_peers")}})
		}
	}
}

// listedVMs returns the VMs on the list.
func listedVMs(t *testscript.TestScript) []connector.ListedVM {
	var l connector.ListResponse
	x := request(t, http.MethodGet, "http://"+t.Getenv("list")+"/vms", "")
	t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &l)))
	return l.VMs
}

func controlLink(t *testscript.TestScript, link string, control map[string]any) {
	b, err := json.Marshal(control)
	t.Check(err)
	t.Check(request(t, http.MethodPost, "http://"+t.Getenv(link)+"/control", string(b)).err())
}

// cmdLink sets the state of routes: link STATE FROM:TO[,TO...]... FROM is an entry VM that
// "linked" has started.
func cmdLink(t *testscript.TestScript, _ bool, a []string) {
	for _, x := range a[1:] {
		from, to, ok := strings.Cut(x, ":")
		if !ok {
			t.Fatalf("%s has no colon", x)
		}
		state := map[string]string{}
		for r := range strings.SplitSeq(to, ",") {
			state[r] = a[0]
		}
		controlLink(t, from+"-link", map[string]any{"state": state})
	}
	fmt.Fprintln(t.Stdout(), strings.Join(a, " "))
}
