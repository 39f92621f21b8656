package estimator_test

import (
	"fmt"
	"time"

	"github.com/lacewingdoor/lacewingdoor/estimator"
)

// A quantile is the upper bound of a bucket, at most 1.41 times the true value.
func ExampleEstimator_Quantile() {
	e := estimator.New(estimator.DefaultKeys)
	k := estimator.JobKey("etiquetar", "labels", "batch", 8)
	fmt.Println(e.Quantile(k, 0.5, time.Hour).Round(time.Minute))
	for range 20 {
		e = e.With(k, 5*time.Minute) // much shorter than the declared hour
	}
	fmt.Println(e.Quantile(k, 0.95, time.Hour).Round(time.Minute))
	// Output:
	// 1h19m0s
	// 7m0s
}
