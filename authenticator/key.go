// Package authenticator tells who sent a request.
//
// A caller shows the bearer key of its organisation. The configuration holds the
// SHA-256 of each key, never the key. A fast hash is right here because keys are
// random: with 256 bits to guess, the cost of one guess does not matter, and a
// slow hash would only burden each request. It would not be right for
// passwords, which people choose from far fewer.
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

// ErrUnknownKey says that no organisation has the key.
var ErrUnknownKey = errors.New("bearer key is not known")

// ErrNoKey says that the header holds no bearer key.
var ErrNoKey = errors.New("no bearer key: want the header Authorization: Bearer KEY")

const (
	keySize   = 32     // bytes of randomness
	keyPrefix = "lwd_" // so that scanners of code recognise a key
	scheme    = "bearer"
	// maxKeyLength is the longest key that is hashed, in bytes.
	maxKeyLength = 256
)

// NewKey returns a new random key and its hash.
func NewKey() (key, hash string, err error) {
	b := make([]byte, keySize)
	if _, err := rand.Read(b); err != nil {
		return "", "", fmt.Errorf("read random bytes for a key: %w", err)
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	return key, Hash(key), nil
}

// Hash returns the hash of a key as the configuration holds it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the organisation whose key stands in the value of an
// Authorization header. The error is ErrNoKey or ErrUnknownKey. Every hash of
// the configuration is compared, each in constant time, so the time taken tells
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

// bearerKey returns the key of an Authorization header.
func bearerKey(header string) (string, error) {
	word, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(word, scheme) || key == "" || len(key) > maxKeyLength {
		return "", ErrNoKey
	}
	return key, nil
}
