package authenticator_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/authenticator"
	"github.com/lacewingdoor/lacewingdoor/decoder"
)

func TestAuthenticateFindsOrganisationOfKey(t *testing.T) {
	is := is.New(t)
	etiquetar, e, err := authenticator.NewKey()
	is.NoErr(err)
	morfa, m, err := authenticator.NewKey()
	is.NoErr(err)
	is.True(etiquetar != morfa)
	c := decoder.Config{Organisations: []decoder.Organisation{
		{Name: "etiquetar", KeyHashes: []string{strings.Repeat("0", 64), e}},
		{Name: "morfa", KeyHashes: []string{m}},
		{Name: "none"},
	}}
	for header, want := range map[string]string{
		"Bearer " + etiquetar: "etiquetar",
		"bearer  " + morfa:    "morfa",
	} {
		o, err := authenticator.Authenticate(c, header)
		is.NoErr(err)
		is.Equal(o.Name, want)
	}
	for _, v := range []struct {
		header string
		want   error
	}{
		{"", authenticator.ErrNoKey},
		{"Bearer", authenticator.ErrNoKey},
		{"Bearer ", authenticator.ErrNoKey},
		{"Basic " + morfa, authenticator.ErrNoKey},
		{"Bearer " + e, authenticator.ErrUnknownKey}, // the hash is not the key
		{"Bearer " + morfa + "x", authenticator.ErrUnknownKey},
		{"Bearer " + morfa[:20], authenticator.ErrUnknownKey},
		{"Bearer " + etiquetar[4:], authenticator.ErrUnknownKey},
		{"Bearer " + morfa + morfa, authenticator.ErrUnknownKey},
		{strings.Repeat("Bearer", 9), authenticator.ErrNoKey},
	} {
		_, err := authenticator.Authenticate(c, v.header)
		is.True(errors.Is(err, v.want)) // the header is rejected
	}
}

func TestPeerAcceptsOnlyTokenOfSameSecret(t *testing.T) {
	is := is.New(t)
	secret := strings.Repeat("s", 32)
	a, err := authenticator.NewPeerAuthenticator([]byte(secret + "\n"))
	is.NoErr(err)
	b, err := authenticator.NewPeerAuthenticator([]byte(secret))
	is.NoErr(err)
	other, err := authenticator.NewPeerAuthenticator([]byte(strings.Repeat("t", 32)))
	is.NoErr(err)
	is.NoErr(b.Check(a.Header()))
	is.True(!strings.Contains(a.Header(), secret))
	is.True(errors.Is(b.Check(other.Header()), authenticator.ErrNotPeer))
	is.True(errors.Is(b.Check("Bearer "+secret), authenticator.ErrNotPeer))
	is.True(errors.Is(authenticator.PeerAuthenticator{}.Check("Bearer "), authenticator.ErrNotPeer))
	_, err = authenticator.NewPeerAuthenticator([]byte("short \n"))
	is.True(err != nil)
}
