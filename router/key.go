package router

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

const (
	maxKeyLength     = 200              // bytes; the log stores each key
	minKeyRandom     = 8                // characters; fewer would collide within a day's requests
	maxClockSkew     = 5 * time.Second  // between the clocks of a caller and this VM
	defaultKeyWindow = 15 * time.Minute // greatest age of a key, unless configured
	minRetryAfter    = 1 * time.Second  // shortest Retry-After; HTTP counts in whole seconds
)

// checkKey refuses an idempotency key that is not UNIXSECONDS-RANDOM, that is so
// old that the log may have dropped its claim, or that was issued in the future, so
// that it could outlive its claim.
func checkKey(now time.Time, key string, window time.Duration) *Refusal {
	seconds, random, found := strings.Cut(key, "-")
	issued, err := strconv.ParseUint(seconds, 10, 40)
	if !found || err != nil || len(random) < minKeyRandom || len(key) > maxKeyLength || !validKeyText(random) {
		return keyRefusal(CodeMalformedKey, fmt.Sprintf("a key has the form UNIXSECONDS-RANDOM, with at least %d random characters", minKeyRandom))
	}
	age := now.Sub(time.Unix(int64(issued), 0))
	if age > window {
		return keyRefusal(CodeExpiredKey, fmt.Sprintf("the key is older than %s", window))
	}
	if age < -maxClockSkew {
		return keyRefusal(CodeFutureKey, "the key was issued in the future")
	}
	return nil
}

func keyRefusal(c Code, detail string) *Refusal {
	return &Refusal{Code: c, Outcome: NotRun, Step: "check idempotency key", Detail: detail}
}

// unclaimedRefusal sets the outcome of a refusal whose key this VM has not claimed.
// A request with the same key may have run through another VM, which only a claim
// could show, so the outcome is unknown unless the key is malformed. The route is
// nil if it is not known.
func unclaimedRefusal(f *Refusal, o *decoder.Route, key string) *Refusal {
	takesClaim := o == nil || o.NonIdempotent
	if key != "" && takesClaim && f.Code != CodeMalformedKey {
		f.Outcome = Unknown
	}
	return f
}

func validKeyText(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == '/' {
			return false
		}
	}
	return true
}
