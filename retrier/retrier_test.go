package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/retrier"
)

// Guards against retries beyond the configured share of the requests, and against a
// burst of retries accumulated over many successful requests.
func TestBudgetLimitsRetriesAndBurst(t *testing.T) {
	is := is.New(t)
	b := retrier.Budget{Percent: 10}
	is.True(!b.Spend()) // no retry before the first request
	spent := 0
	for range 1000 {
		b.Deposit()
		if b.Spend() {
			spent++
		}
	}
	is.Equal(spent, 100)
	for range 100_000 {
		b.Deposit()
	}
	for range 50 {
		is.True(b.Spend())
	}
	is.True(!b.Spend()) // the accumulated retries are limited
}

func TestDelayGrowsExponentiallyWithFullJitter(t *testing.T) {
	is := is.New(t)
	is.Equal(retrier.Delay(1, 0), time.Duration(0)) // full jitter starts at zero
	is.Equal(retrier.Delay(1, 0.5), 10*time.Millisecond)
	is.Equal(retrier.Delay(3, 0.5), 40*time.Millisecond)
	is.Equal(retrier.Delay(1000, 0.5), 250*time.Millisecond)
}
