package follower_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

type (
	gained struct {
		ID string `json:"id"`
	}
	unregistered struct{}
)

// A record of an unknown kind or type must be an error: decoded as an empty record
// it would be lost silently.
func TestKindsRoundTripAndRejectUnknown(t *testing.T) {
	is := is.New(t)
	k := follower.Kinds[any]{"gained": gained{}}
	kind, body, err := k.Encode(gained{"x"})
	is.NoErr(err)
	is.Equal(kind, "gained")
	r, err := k.Decode(kind, body)
	is.NoErr(err)
	is.Equal(r, gained{"x"})
	_, _, err = k.Encode(unregistered{})
	is.True(err != nil) // type of another stream
	_, err = k.Decode("lost", json.RawMessage(`{}`))
	is.True(err != nil) // kind of a newer version
	_, err = k.Decode("gained", json.RawMessage(`{"id":7}`))
	is.True(err != nil)
}
