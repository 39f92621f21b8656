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
	// hashSize is how much of a key's SHA-256 is kept, in bytes.
	hashSize = 16 // two of a billion keys then collide with a chance below 1e-20
	// maxKeyLength is the longest key, in bytes, with its scope.
	maxKeyLength = 512
)

// keyPattern is the form of a key: UNIXSECONDS-RANDOM.
var keyPattern = regexp.MustCompile(`^(\d{9,11})-([!-.0-~]{8,200})$`)

// Key is an idempotency key that was understood.
type Key struct {
	Hash   string    // hex; keys of different scopes differ
	Minted time.Time // by the caller's clock
}

// ParseKey understands a key of the form SCOPE/UNIXSECONDS-RANDOM. The scope may
// be missing; it ends at the last slash, and names the organisation and service
// so that the keys of one caller never meet those of another. The random part
// has 8 to 200 printable characters other than space and slash. The error is
// ErrBadKey.
func ParseKey(key string) (Key, error) {
	if len(key) > maxKeyLength {
		return Key{}, fmt.Errorf("%w: longer than %d bytes", ErrBadKey, maxKeyLength)
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
	return Key{Hash: hex.EncodeToString(sum[:hashSize]), Minted: time.Unix(seconds, 0)}, nil
}

// checkAge refuses a key that is older than window or more than skew ahead of
// now.
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
