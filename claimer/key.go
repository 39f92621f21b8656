package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// keyHashBytes is the length of the stored prefix of a key's SHA-256, in bytes.
	keyHashBytes = 16 // the probability that any two of a billion keys collide is below 1e-20
	// maxKeyBytes is the greatest length of a key including its scope, in bytes.
	maxKeyBytes = 512
)

// keyPattern matches a key without its scope: UNIXSECONDS-RANDOM.
var keyPattern = regexp.MustCompile(`^(\d{9,11})-([!-.0-~]{8,200})$`)

// Key is a parsed idempotency key.
type Key struct {
	Hash   string    // hexadecimal; covers the scope
	Minted time.Time // by the caller's clock
}

// ParseKey parses a key of the form SCOPE/UNIXSECONDS-RANDOM. The scope is optional
// and ends at the last slash. It names the organisation and the service, so that
// keys of different callers never conflict. The random part has 8 to 200 printable
// characters other than space and slash. The error is ErrBadKey.
func ParseKey(key string) (Key, error) {
	if len(key) > maxKeyBytes {
		return Key{}, fmt.Errorf("%w: longer than %d bytes", ErrBadKey, maxKeyBytes)
	}
	m := keyPattern.FindStringSubmatch(key[strings.LastIndexByte(key, '/')+1:])
	if m == nil {
		return Key{}, fmt.Errorf("%w: want UNIXSECONDS-RANDOM with 8 to 200 random characters", ErrBadKey)
	}
	seconds, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("%w: mint time: %w", ErrBadKey, err)
	}
	sum := sha256.Sum256([]byte(key))
	return Key{Hash: hex.EncodeToString(sum[:keyHashBytes]), Minted: time.Unix(seconds, 0)}, nil
}

// checkAge rejects a key that is older than window or more than skew ahead of now.
func (k Key) checkAge(now time.Time, window, skew time.Duration) error {
	age := now.Sub(k.Minted)
	if age > window {
		return fmt.Errorf("%w: minted %v ago, the oldest allowed is %v", ErrBadKey, age.Round(time.Second), window)
	}
	if age < -skew {
		return fmt.Errorf("%w: minted %v in the future, %v are allowed", ErrBadKey, (-age).Round(time.Second), skew)
	}
	return nil
}
