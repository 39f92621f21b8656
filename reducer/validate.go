package reducer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// Reasons for rejecting a job.
var (
	ErrUnknownOrganisation = errors.New("organisation is not known")
	ErrUnknownService      = errors.New("service is not known to the organisation")
	ErrUnknownTeam         = errors.New("team is not known to the organisation")
	ErrOverQuota           = errors.New("request exceeds the team's whole quota")
	ErrDuplicate           = errors.New("another job has this id")
	ErrNoTasks             = errors.New("gang needs at least one task")
)

// Validate returns why a job is rejected, such as an unknown service or a gang that
// can never be placed. Resubmitting a known job is not an error.
func Validate(_ time.Time, s State, j Job) error {
	if old, ok := s.jobs.Get(j.ID); ok {
		if !old.SameRequest(j) {
			return fmt.Errorf("job %q: %w", j.ID, ErrDuplicate)
		}
		return nil
	}
	n, ok := s.tenants.Get(j.Organisation)
	if !ok {
		return fmt.Errorf("job %q of organisation %q: %w", j.ID, j.Organisation, ErrUnknownOrganisation)
	}
	serviceKnown := slices.ContainsFunc(s.config.Services, func(v decoder.Service) bool {
		return v.Name == j.Service && v.Organisation == j.Organisation
	})
	if !serviceKnown {
		return fmt.Errorf("job %q of service %q: %w", j.ID, j.Service, ErrUnknownService)
	}
	if j.Gang.Tasks <= 0 {
		return fmt.Errorf("job %q: %w", j.ID, ErrNoTasks)
	}
	if err := n.checkQuota(j); err != nil {
		return fmt.Errorf("job %q: %w", j.ID, err)
	}
	if err := s.checkFeasible(j); err != nil {
		return fmt.Errorf("job %q: %w", j.ID, err)
	}
	return nil
}

// checkQuota returns an error if a job's team is unknown or the job exceeds its
// quota.
func (n *tenant) checkQuota(j Job) error {
	if j.Team == "" {
		return nil
	}
	i := slices.IndexFunc(n.Teams, func(v decoder.Team) bool { return v.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %q: %w", j.Team, ErrUnknownTeam)
	}
	if !fitsQuota(j.Gang.Total(), n.Teams[i].Quota) {
		return fmt.Errorf("team %q: %w", j.Team, ErrOverQuota)
	}
	return nil
}

// fitsQuota reports whether an amount is within a quota. Zero values of the quota are
// unlimited.
func fitsQuota(r, quota placer.Resources) bool {
	return (quota.MilliCores == 0 || r.MilliCores <= quota.MilliCores) &&
		(quota.MemoryMB == 0 || r.MemoryMB <= quota.MemoryMB) &&
		(quota.Accelerators == 0 || r.Accelerators <= quota.Accelerators)
}
