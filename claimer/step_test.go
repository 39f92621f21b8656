package claimer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/claimer"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// commands returns the commands of a script. Keys are given as SECONDS-NAME; see
// makeKey.
func (w *cluster) commands() scripter.Commands {
	c := scripter.Commands{
		"vm": w.startVM, // starts or replaces a VM
		"kill": func(vm string) {
			w.vms[vm].stop()
			w.vms[vm].paused = true
		},
		"pause":  func(vm string) { w.vms[vm].paused = true }, // the VM stops reading the log
		"resume": func(vm string) { w.vms[vm].paused = false },
		"claim":  func(vm, k, request string) { w.claim(vm, makeKey(k), request) },
		"many": func(vm string, count int) { // claims count keys concurrently
			for i := range count {
				w.claim(vm, makeKey(fmt.Sprintf("0-key%d", i)), "r")
			}
		},
		"release": func(vm, k, request string) { w.vms[vm].Release(makeKey(k), request) },
		"wait": func(seconds int) {
			for range seconds * 10 {
				time.Sleep(time.Second / 10)
				w.settleAndPrint()
			}
		},
		"show":   w.printStream, // prints the records of the stream
		"counts": func(vm string) { fmt.Fprintf(&w.out, "  %+v\n", w.vms[vm].Counts()) },
		"held":   func(vm string) { fmt.Fprintf(&w.out, "  %d\n", w.vms[vm].Held()) }, // number of held keys known to the VM
	}
	w.addLogCommands(c)
	return c
}

// addLogCommands adds the commands that control the log.
func (w *cluster) addLogCommands(c scripter.Commands) {
	locked := func(f func()) func() {
		return func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			f()
		}
	}
	c["log"] = func(mode logMode) { locked(func() { w.mode = mode })() } // sets how the log handles appends
	c["arrive"] = locked(func() {                                        // appends the delayed records
		w.add(w.delayed...)
		w.delayed = nil
	})
	c["again"] = func(offset int) { locked(func() { w.add(w.records[offset-1].record) })() } // appends a duplicate of the record at offset
	c["corrupt"] = locked(func() { w.add(nil) })                                             // appends an undecodable record
	c["retain"] = func(seconds int) {                                                        // removes records older than seconds
		locked(func() {
			for w.first <= int64(len(w.records)) && time.Since(w.records[w.first-1].appended) > time.Duration(seconds)*time.Second {
				w.first++
			}
		})()
	}
	c["trim"] = locked(func() { w.first = int64(len(w.records)) + 1 }) // removes all records
}

func (w *cluster) startVM(name string) {
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

// printStream prints the stream; adjacent duplicates are printed once.
func (w *cluster) printStream() {
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
