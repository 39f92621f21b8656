package authenticator

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// ErrNotPeer is returned if a request does not come from an entry VM of this system.
var ErrNotPeer = errors.New("request is not from a peer")

// minSecretLength is the minimum length of the secret of the peers, in bytes.
const minSecretLength = 32

// peerLabel separates the peer token from other uses of the secret.
const peerLabel = "lacewingdoor peer token 1"

// PeerAuthenticator authenticates requests between entry VMs by a secret that all of
// them read from their settings.
type PeerAuthenticator struct{ token string }

// NewPeerAuthenticator returns the PeerAuthenticator of a secret. White space around
// the secret, such as the line break at the end of a file, is ignored.
func NewPeerAuthenticator(secret []byte) (PeerAuthenticator, error) {
	s := bytes.TrimSpace(secret)
	if len(s) < minSecretLength {
		return PeerAuthenticator{}, fmt.Errorf("secret of peers has %d bytes; want at least %d", len(s), minSecretLength)
	}
	m := hmac.New(sha256.New, s)
	m.Write([]byte(peerLabel))
	return PeerAuthenticator{token: hex.EncodeToString(m.Sum(nil))}, nil
}

// Header returns the value of the Authorization header for requests to a peer. It
// does not contain the secret itself.
func (p PeerAuthenticator) Header() string { return "Bearer " + p.token }

// Check returns ErrNotPeer unless header is the Authorization header of a peer. It
// compares in constant time. The zero PeerAuthenticator accepts no request.
func (p PeerAuthenticator) Check(header string) error {
	token, err := bearerKey(header)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotPeer, err)
	}
	if p.token == "" || !hmac.Equal([]byte(token), []byte(p.token)) {
		return ErrNotPeer
	}
	return nil
}
