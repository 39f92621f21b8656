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

// cmdLinked starts an entry VM all whose connections pass links of its own: linked
// NAME ZONE PEER... The links NAME-link have routes to the log, the list, each peer,
// and each worker and executor that the list shows; a list of its own names them.
// The routes to this VM of peers that were started before are set.
func cmdLinked(t *testscript.TestScript, _ bool, a []string) {
	name, zone, peers := a[0], a[1], a[2:]
	link, list := name+"-link", name+"-list"
	cmdStart(t, false, []string{list, "stand-in", "list"})
	to := map[string]string{"log": t.Getenv("log"), "list": t.Getenv(list)}
	routes := append([]string{"log", "list"}, peers...)
	rows := listed(t)
	for _, r := range rows {
		routes = append(routes, r.ID)
		to[r.ID] = r.Address
	}
	for _, p := range peers {
		rows = append(rows, connector.ListedVM{ID: p, Role: connector.RoleEntry, Zone: zone})
		if v := t.Getenv(p + "_peers"); v != "" {
			to[p] = v
		}
	}
	cmdStart(t, false, append([]string{link, "stand-in", "link"}, routes...))
	setLink(t, link, map[string]any{"to": to})
	for _, r := range rows {
		r.Address = t.Getenv(link + "_" + r.ID)
		register(t, list, r)
	}
	s := settings(t, name, zone, t.Getenv(link+"_log"), t.Getenv(link+"_list"), true)
	cmdStart(t, false, []string{name, "serve", "--settings", s})
	for _, p := range peers {
		if t.Getenv(p+"-link") != "" {
			setLink(t, p+"-link", map[string]any{"to": map[string]string{name: t.Getenv(name + "_peers")}})
		}
	}
}

// listed returns the rows of the list.
func listed(t *testscript.TestScript) []connector.ListedVM {
	var l connector.ListResponse
	x := request(t, http.MethodGet, "http://"+t.Getenv("list")+"/vms", "")
	t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &l)))
	return l.VMs
}

func setLink(t *testscript.TestScript, link string, control map[string]any) {
	b, err := json.Marshal(control)
	t.Check(err)
	t.Check(request(t, http.MethodPost, "http://"+t.Getenv(link)+"/control", string(b)).err())
}

// cmdLink sets how links behave: link STATE FROM:TO[,TO...]... FROM is an entry VM
// that was started by linked.
func cmdLink(t *testscript.TestScript, _ bool, a []string) {
	for _, x := range a[1:] {
		from, to, ok := strings.Cut(x, ":")
		if !ok {
			t.Fatalf("%s lacks a colon", x)
		}
		state := map[string]string{}
		for r := range strings.SplitSeq(to, ",") {
			state[r] = a[0]
		}
		setLink(t, from+"-link", map[string]any{"state": state})
	}
	fmt.Fprintln(t.Stdout(), strings.Join(a, " "))
}
