package claimer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/claimer"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// commands returns the commands of a script. KEY is SECONDS-NAME, a key minted so many
// seconds after the start.
func (w *world) commands() scripter.Commands {
	c := scripter.Commands{
		"vm": w.start, // starts a VM, or replaces it
		"kill": func(vm string) {
			w.vms[vm].stop()
			w.vms[vm].paused = true
		},
		"pause":  func(vm string) { w.vms[vm].paused = true }, // it reads no log
		"resume": func(vm string) { w.vms[vm].paused = false },
		"claim":  func(vm, k, request string) { w.claim(vm, key(k), request) },
		"many": func(vm string, count int) { // claims as many keys at once
			for i := range count {
				w.claim(vm, key(fmt.Sprintf("0-key%d", i)), "r")
			}
		},
		"release": func(vm, k, request string) { w.vms[vm].Release(key(k), request) },
		"wait": func(seconds int) {
			for range seconds * 10 {
				time.Sleep(time.Second / 10)
				w.settle()
			}
		},
		"show":   w.show, // prints the stream
		"counts": func(vm string) { fmt.Fprintf(&w.out, "  %+v\n", w.vms[vm].Counts()) },
		"held":   func(vm string) { fmt.Fprintf(&w.out, "  %d\n", w.vms[vm].Held()) }, // how many keys a VM knows to be held
	}
	w.logCommands(c)
	return c
}

// logCommands adds the commands that concern the log.
func (w *world) logCommands(c scripter.Commands) {
	locked := func(f func()) func() {
		return func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			f()
		}
	}
	c["log"] = func(mode logMode) { locked(func() { w.mode = mode })() } // how it treats appends
	c["arrive"] = locked(func() {                                        // what was late is appended
		w.add(w.late...)
		w.late = nil
	})
	c["again"] = func(offset int) { locked(func() { w.add(w.records[offset-1].record) })() }
	c["corrupt"] = locked(func() { w.add(nil) }) // a record that can't be decoded
	c["retain"] = func(seconds int) {            // drops the records that are older
		locked(func() {
			for w.first <= int64(len(w.records)) && time.Since(w.records[w.first-1].appended) > time.Duration(seconds)*time.Second {
				w.first++
			}
		})()
	}
	c["trim"] = locked(func() { w.first = int64(len(w.records)) + 1 }) // drops all records
}

func (w *world) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	if w.vms[name] == nil {
		w.names = append(w.names, name)
	}
	v := &vm{
		Claimer: &claimer.Claimer{VM: name, Append: w.append, Now: time.Now, NewID: w.newID},
		next:    1,
		stop:    cancel,
	}
	w.vms[name] = v
	go func() { _ = v.Run(ctx) }()
}

// show prints the stream; runs of copies are printed once.
func (w *world) show() {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := ""
	for _, e := range w.records {
		line := fmt.Sprintf("%T", e.record)
		switch r := e.record.(type) {
		case claimer.Claim:
			line = fmt.Sprintf("%s claimed by %s for %s", r.ID, r.VM, r.Request)
		case claimer.Release:
			line = r.ID + " released"
		}
		if line != last {
			fmt.Fprintf(&w.out, "  %s\n", line)
		}
		last = line
	}
}
