package scheduler

import "time"

// foreignWorkers are the listed workers of services that nothing of this system names. They
// belong to other systems, so they are not called at all: a call would take them away from
// these, and their answers say nothing about this system.
type foreignWorkers struct {
	services map[string]bool // named by a configuration of this term or by a job, also by one that has ended
	listed   []WorkerInfo    // last list
	listedAt time.Time
	ids      map[string]bool
}

// nameServices notes the services that a configuration names.
func (s *Scheduler) nameServices(now time.Time, t Config) {
	for _, q := range t.Queues {
		s.nameService(now, q.Service)
	}
	for service := range t.Pools {
		s.nameService(now, service)
	}
}

// nameService notes that workers of a service may have runs of this system. A service stays
// named: runs may outlast the configuration that named it, and an earlier leader may have
// started a job under the configuration of its acceptance.
func (s *Scheduler) nameService(now time.Time, service string) {
	f := &s.foreign
	if service == "" || f.services[service] {
		return
	}
	if f.services == nil {
		f.services = map[string]bool{}
	}
	f.services[service] = true
	for _, l := range f.listed {
		if l.Service == service && f.ids[l.ID] {
			s.updateWorkers(now, s.ownWorkers(now, f.aged(now)))
			return
		}
	}
}

// ownWorkers returns the workers of a list that belong to this system: all until a service is
// named.
func (s *Scheduler) ownWorkers(now time.Time, all []WorkerInfo) []WorkerInfo {
	f := &s.foreign
	f.listed, f.listedAt, f.ids = all, now, map[string]bool{}
	own := make([]WorkerInfo, 0, len(all))
	for _, l := range all {
		if len(f.services) > 0 && !f.services[l.Service] {
			f.ids[l.ID] = true
			continue
		}
		own = append(own, l)
	}
	return own
}

// aged returns the last list as it would be now.
func (f *foreignWorkers) aged(now time.Time) []WorkerInfo {
	all := make([]WorkerInfo, len(f.listed))
	for i, l := range f.listed {
		l.MinRemaining = max(0, l.MinRemaining-now.Sub(f.listedAt))
		all[i] = l
	}
	return all
}
