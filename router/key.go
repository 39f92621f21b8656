package router

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

const (
	maxKeyLength  = 200              // bytes; a key is kept in the log
	minKeyRandom  = 8                // characters; fewer would collide within a day's requests
	maxClockSkew  = 5 * time.Second  // between a caller's clock and ours
	defaultWindow = 15 * time.Minute // age at which a key is refused, unless set
	minRetryAfter = 1 * time.Second  // least time that callers are told to wait; HTTP counts in seconds
)

// checkKey refuses an idempotency key that is not UNIXSECONDS-RANDOM, or was
// minted so long ago that the log may have dropped its claim, or in the future,
// so that it could outlive its claim.
func checkKey(now time.Time, key string, window time.Duration) *Refusal {
	seconds, random, found := strings.Cut(key, "-")
	minted, err := strconv.ParseUint(seconds, 10, 40)
	if !found || err != nil || len(random) < minKeyRandom || len(key) > maxKeyLength || !printable(random) {
		return refuseKey(CodeMalformedKey, fmt.Sprintf("a key reads UNIXSECONDS-RANDOM, with at least %d random characters", minKeyRandom))
	}
	age := now.Sub(time.Unix(int64(minted), 0))
	if age > window {
		return refuseKey(CodeExpiredKey, fmt.Sprintf("the key is older than %s", window))
	}
	if age < -maxClockSkew {
		return refuseKey(CodeFutureKey, "the key was minted in the future")
	}
	return nil
}

func refuseKey(c Code, detail string) *Refusal {
	return &Refusal{Code: c, Outcome: NotRun, Step: "check idempotency key", Detail: detail}
}

// beforeClaim returns the refusal of a request whose key this VM has not claimed.
// An earlier sending of the same key may have run through another VM, and only the
// claims could tell; so nothing is certain, unless the key was never a valid one.
// The route is nil when it is not known.
func beforeClaim(f *Refusal, o *decoder.Route, key string) *Refusal {
	counts := o == nil || o.NonIdempotent
	if key != "" && counts && f.Code != CodeMalformedKey {
		f.Outcome = Unknown
	}
	return f
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == '/' {
			return false
		}
	}
	return true
}
