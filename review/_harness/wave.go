package main

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

const waveKind = "b" // kind of the machines of the wave

// runWave requests the upkeep of the two machines of one kind, and lets the leader lose
// power as soon as it has ordered both. Later, jobs that need this kind are handed in.
func runWave(w *world) error {
	w.configure(7)
	c, err := newCloud(w, 8, size{128000, 262144, 8})
	if err != nil {
		return err
	}
	wave := []string{"m-02", "m-05"}
	for _, id := range wave {
		m := c.machines[id]
		m.labels = []string{waveKind, m.rack}
		m.executor.mu.Lock()
		m.executor.labels = m.labels
		m.executor.mu.Unlock()
		w.store.put("keyed.servers", m.executor.id, m.executor.entry())
	}
	if err := w.startVMs(3); err != nil {
		return err
	}
	if !w.until(15*time.Second, func() bool { return w.leader() != nil }) {
		return fmt.Errorf("no VM leads")
	}
	first := job{Spec: "800ms", Steps: []step{{Count: 2, CPU: 11000, MemMB: 16000, GPU: 1, EstimateMS: 800, Requirements: waveKind}}}
	if !w.submit(w.vms[0], "preview", "5c0e7a21d94b0001", first) || !w.completes("preview", "5c0e7a21d94b0001", 10*time.Second) {
		return fmt.Errorf("the first job does not complete")
	}
	leader := w.leader()
	var orders atomic.Int64
	killed := make(chan struct{})
	c.onUpkeep = func(string, int) {
		if orders.Add(1) == int64(len(wave)) {
			if w.trouble {
				w.killAfter(leader)
			}
			close(killed)
		}
	}
	b, _ := json.Marshal(map[string]any{"wave": 1, "machines": wave, "durationS": 20, "cap": len(wave)})
	w.logf("the operator requests wave 1: %s", b)
	w.store.put("keyed.op", "wave/1", b)
	select {
	case <-killed:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the upkeep of the wave does not begin")
	}
	time.Sleep(3500 * time.Millisecond)
	if w.trouble {
		if err := w.start(leader); err != nil {
			return err
		}
	}
	time.Sleep(16500 * time.Millisecond) // recoverS and contactMs are over
	w.logf("status/wave/1: %s", w.store.get("keyed.status", "wave/1"))
	id, sent := "5c0e7a21d94b0002", time.Now()
	if !w.submit(w.vms[0], "preview", id, first) {
		return fmt.Errorf("the second job was not accepted")
	}
	const limit = 30 * time.Second
	began := w.until(limit, func() bool { return w.tasks.hasRun(id) })
	w.logf("GET %s: %s after %.1f s", id, w.state(w.vms[0], "preview", id), time.Since(sent).Seconds())
	w.logf("status/wave/1: %s", w.store.get("keyed.status", "wave/1"))
	if !began {
		w.breakf("LOST: job %s has nothing running for %.0f s, while its tasks' turn has come, two idle executors of its kind have room for 8 such tasks each, and nothing else runs", id, limit.Seconds())
	}
	return nil
}
