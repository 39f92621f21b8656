package claimer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/claimer"
)

// step does one step of a script:
//
//	vm NAME                    start a VM, or replace it
//	kill NAME                  stop a VM
//	pause NAME, resume NAME    stop and go on reading the log
//	claim NAME SECONDS-KEY ID  claim a key, minted so many seconds after the start
//	many NAME COUNT            claim as many keys at once
//	release NAME KEY ID        give a key back
//	log MODE                   set how the log treats appends
//	arrive                     append what was late
//	again OFFSET               append a copy of a record
//	corrupt                    append a record that can't be decoded
//	trim                       drop all records
//	retain SECONDS             drop the records that are older
//	wait SECONDS               let time pass
//	show                       print the stream
//	counts NAME                print a VM's counts
//	held NAME                  print how many keys a VM knows to be held
func (w *world) step(f []string) error {
	switch f[0] {
	case "vm":
		w.start(f[1])
	case "kill":
		w.vms[f[1]].stop()
		w.vms[f[1]].paused = true
	case "pause", "resume":
		w.vms[f[1]].paused = f[0] == "pause"
	case "claim":
		w.claim(f[1], key(f[2]), f[3])
	case "many":
		for i := range number(f[2]) {
			w.claim(f[1], key(fmt.Sprintf("0-key%d", i)), "r")
		}
	case "release":
		w.vms[f[1]].Release(key(f[2]), f[3])
	case "wait":
		for range number(f[1]) * 10 {
			time.Sleep(time.Second / 10)
			w.settle()
		}
	case "show":
		w.show()
	case "counts":
		fmt.Fprintf(&w.out, "  %+v\n", w.vms[f[1]].Counts())
	case "held":
		fmt.Fprintf(&w.out, "  %d\n", w.vms[f[1]].Held())
	default:
		return w.logStep(f)
	}
	return nil
}

// logStep does a step that concerns the log.
func (w *world) logStep(f []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch f[0] {
	case "log":
		w.mode = logMode(f[1])
	case "arrive":
		w.add(w.late...)
		w.late = nil
	case "again":
		w.add(w.records[number(f[1])-1].record)
	case "corrupt":
		w.add(nil)
	case "retain":
		for w.first <= int64(len(w.records)) && time.Since(w.records[w.first-1].appended) > time.Duration(number(f[1]))*time.Second {
			w.first++
		}
	case "trim":
		w.first = int64(len(w.records)) + 1
	default:
		return fmt.Errorf("step %q is not known", f[0])
	}
	return nil
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
