package limiter

import "time"

// Shares divides slot time between organisations by weight, after start-time
// fair queuing: each organisation has a virtual time that advances with the slot
// time it was given, divided by its weight; the lowest goes next.
type Shares struct {
	finish  map[string]float64 // virtual time per organisation, in weighted seconds
	virtual float64            // of the system: that of the organisation served last
}

// Activate prepares an organisation that had nothing waiting: time that it did
// not use is not saved up.
func (s *Shares) Activate(organisation string) {
	if s.finish == nil {
		s.finish = make(map[string]float64)
	}
	s.finish[organisation] = max(s.finish[organisation], s.virtual)
}

// Time returns the virtual time of an organisation, in weighted seconds.
func (s *Shares) Time(organisation string) float64 { return s.finish[organisation] }

// Start charges an organisation for work that starts and is expected to hold a
// slot for run.
func (s *Shares) Start(organisation string, weight int, run time.Duration) {
	s.Activate(organisation)
	s.virtual = max(s.virtual, s.finish[organisation])
	s.finish[organisation] += cost(weight, run)
}

// Correct charges the difference once it is known how long the work ran.
func (s *Shares) Correct(organisation string, weight int, expected, ran time.Duration) {
	s.finish[organisation] += cost(weight, ran-expected)
}

func cost(weight int, run time.Duration) float64 { return run.Seconds() / float64(max(weight, 1)) }
