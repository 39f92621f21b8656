package limiter

import "time"

// Shares divides slot time between organisations by weight with start-time fair
// queuing: the virtual time of an organisation advances by the slot time that it
// used, divided by its weight. The organisation with the lowest goes next.
type Shares struct {
	times      map[string]float64 // virtual time per organisation, in weighted seconds
	systemTime float64            // virtual time of the organisation served last
}

// Activate advances the virtual time of an organisation that had no waiting
// requests, so that it earns no credit for slot time that it did not use.
func (s *Shares) Activate(organisation string) {
	if s.times == nil {
		s.times = make(map[string]float64)
	}
	s.times[organisation] = max(s.times[organisation], s.systemTime)
}

// VirtualTime returns the virtual time of an organisation, in weighted seconds.
func (s *Shares) VirtualTime(organisation string) float64 { return s.times[organisation] }

// Start charges an organisation for work that is expected to hold a slot for the
// duration run.
func (s *Shares) Start(organisation string, weight int, run time.Duration) {
	s.Activate(organisation)
	s.systemTime = max(s.systemTime, s.times[organisation])
	s.times[organisation] += cost(weight, run)
}

// Correct charges the difference between the actual and the expected run time
// of finished work.
func (s *Shares) Correct(organisation string, weight int, expected, ran time.Duration) {
	s.times[organisation] += cost(weight, ran-expected)
}

func cost(weight int, run time.Duration) float64 { return run.Seconds() / float64(max(weight, 1)) }
