package router

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// checkAnswer returns an error if an answer belongs to another attempt than id or
// is corrupt.
func checkAnswer(id string, a *Answer) error {
	if got := a.Header.Get(connector.HeaderRequestID); got != id {
		return fmt.Errorf("answer carries request id %q, want %q", got, id)
	}
	return checkDigest(a.Header.Values(connector.HeaderDigest), a.Body)
}

// checkDigest compares a body with the SHA-256 of its Content-Digest header, if
// there is one (RFC 9530).
func checkDigest(values []string, body []byte) error {
	for _, v := range values {
		for member := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
			if name != "sha-256" {
				continue
			}
			if err := compareDigest(value, body); err != nil {
				return err
			}
		}
	}
	return nil
}

func compareDigest(value string, body []byte) error {
	value, _, _ = strings.Cut(value, ";") // parameters
	if len(value) < 2 || value[0] != ':' || value[len(value)-1] != ':' {
		return errors.New("malformed digest")
	}
	want, err := base64.StdEncoding.DecodeString(value[1 : len(value)-1])
	if err != nil {
		return fmt.Errorf("malformed digest: %w", err)
	}
	got := sha256.Sum256(body)
	if !bytes.Equal(got[:], want) {
		return errors.New("digest does not match the body")
	}
	return nil
}

// reportsNotRun reports whether the executor states that it did not run the
// request.
func reportsNotRun(a *Answer) bool {
	return a.Status >= http.StatusBadRequest && a.Header.Get(connector.HeaderOutcome) == string(NotRun)
}

// reportsLeaving reports whether the executor states that it is leaving.
func reportsLeaving(a *Answer) bool { return a.Header.Get(connector.HeaderState) == "leaving" }
