// Package authenticator authenticates callers and peers by the Authorization header
// of their requests.
//
// A caller sends the bearer key of its organisation. The configuration holds the
// SHA-256 hash of each key, never the key. A fast hash suffices since keys are
// random: with 256 bits to guess, the cost of one guess does not matter, and a
// slow hash would only slow down each request. It would not suffice for passwords,
// which people choose from far fewer possibilities.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/lacewingdoor/lacewingdoor/decoder"
)

// ErrUnknownKey is returned if no organisation has the key.
var ErrUnknownKey = errors.New("unknown bearer key")

// ErrNoKey is returned if the header has no valid bearer key.
var ErrNoKey = errors.New("no bearer key: want the header Authorization: Bearer KEY")

const (
	keySize   = 32     // random bytes
	keyPrefix = "lwd_" // lets secret scanners recognise a key
	scheme    = "bearer"
	// maxKeyLength is the length of the longest key that is accepted, in bytes.
	maxKeyLength = 256
)

// NewKey returns a new random key and its hash.
func NewKey() (key, hash string, err error) {
	b := make([]byte, keySize)
	if _, err := rand.Read(b); err != nil {
		return "", "", fmt.Errorf("read random bytes for key: %w", err)
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	return key, Hash(key), nil
}

// Hash returns the hash of a key in the form that the configuration holds: SHA-256
// in hexadecimal.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the organisation whose key is in the value of an
// Authorization header. The error is ErrNoKey or ErrUnknownKey. It compares every
// hash of the configuration, each in constant time, so that its run time reveals
// nothing about them.
func Authenticate(c decoder.Config, header string) (decoder.Organisation, error) {
	key, err := bearerKey(header)
	if err != nil {
		return decoder.Organisation{}, err
	}
	hash := []byte(Hash(key))
	found := -1
	for i, o := range c.Organisations {
		for _, h := range o.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return decoder.Organisation{}, ErrUnknownKey
	}
	return c.Organisations[found], nil
}

// bearerKey returns the bearer key of an Authorization header.
func bearerKey(header string) (string, error) {
	prefix, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(prefix, scheme) || key == "" || len(key) > maxKeyLength {
		return "", ErrNoKey
	}
	return key, nil
}
