package reducer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The reasons for which a job is not accepted.
var (
	ErrUnknownOrganisation = errors.New("organisation is not known")
	ErrUnknownService      = errors.New("service is not known to the organisation")
	ErrUnknownTeam         = errors.New("team is not known to the organisation")
	ErrOverQuota           = errors.New("more than the team's whole quota")
	ErrDuplicate           = errors.New("another job has this id")
	ErrNoTasks             = errors.New("a gang has at least one task")
)

// Validate reports why a job would not be accepted, such as an unknown service
// or a gang that can never fit. A job that is known already is accepted again.
func Validate(_ time.Time, s State, j Job) error {
	if old, ok := s.jobs.Get(j.ID); ok {
		if !old.Same(j) {
			return fmt.Errorf("job %q: %w", j.ID, ErrDuplicate)
		}
		return nil
	}
	n, ok := s.tenants.Get(j.Organisation)
	if !ok {
		return fmt.Errorf("job %q of organisation %q: %w", j.ID, j.Organisation, ErrUnknownOrganisation)
	}
	known := slices.ContainsFunc(s.config.Services, func(v decoder.Service) bool {
		return v.Name == j.Service && v.Organisation == j.Organisation
	})
	if !known {
		return fmt.Errorf("job %q of service %q: %w", j.ID, j.Service, ErrUnknownService)
	}
	if j.Gang.Tasks <= 0 {
		return fmt.Errorf("job %q: %w", j.ID, ErrNoTasks)
	}
	if err := n.allows(j); err != nil {
		return fmt.Errorf("job %q: %w", j.ID, err)
	}
	if err := s.impossible(j); err != nil {
		return fmt.Errorf("job %q: %w", j.ID, err)
	}
	return nil
}

// allows reports why a job is more than its team may ever use.
func (n *tenant) allows(j Job) error {
	if j.Team == "" {
		return nil
	}
	i := slices.IndexFunc(n.Teams, func(v decoder.Team) bool { return v.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %q: %w", j.Team, ErrUnknownTeam)
	}
	if !within(j.Gang.Total(), n.Teams[i].Quota) {
		return fmt.Errorf("team %q: %w", j.Team, ErrOverQuota)
	}
	return nil
}

// within reports whether an amount keeps to a quota, of which zeros are unlimited.
func within(r, quota placer.Resources) bool {
	return (quota.MilliCores == 0 || r.MilliCores <= quota.MilliCores) &&
		(quota.MemoryMB == 0 || r.MemoryMB <= quota.MemoryMB) &&
		(quota.Accelerators == 0 || r.Accelerators <= quota.Accelerators)
}
