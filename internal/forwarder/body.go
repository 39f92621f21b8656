package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// body is the body of an outgoing request. net/http cannot rewind it.
type body struct {
	rest []byte
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements [io.Closer].
func (b *body) Close() error { return nil }

// answerError is an answer that is not whole or not allowed.
type answerError struct {
	code router.Code
	err  error
}

func (e *answerError) Error() string { return e.err.Error() }

func (e *answerError) Unwrap() error { return e.err }

// read reads the body of an answer, and fails unless all of it came.
func read(p *http.Response, limit int64) ([]byte, error) {
	if p.Request.Method == http.MethodHead {
		p.Header.Del(connector.HeaderDigest) // of a body that is not sent
		return nil, nil
	}
	if p.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if p.ContentLength >= 0 {
		return readExactly(p.Body, p.ContentLength)
	}
	if p.ProtoMajor == 1 && len(p.TransferEncoding) == 0 && p.Header.Get(connector.HeaderDigest) == "" {
		return nil, &answerError{router.CodeBadAnswer, errors.New("the answer has neither a length nor a digest, so it may be cut off")}
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("answer cut off after %d bytes: %w", len(b), err)
	}
	if int64(len(b)) > limit {
		return nil, tooLarge(limit)
	}
	return b, nil
}

func readExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, n)
	if got, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("answer cut off after %d of %d bytes: %w", got, n, err)
	}
	var more [1]byte
	if _, err := r.Read(more[:]); !errors.Is(err, io.EOF) {
		return nil, &answerError{router.CodeBadAnswer, errors.New("the answer is longer than its length says")}
	}
	return b, nil
}

func tooLarge(limit int64) error {
	return &answerError{router.CodeAnswerTooLarge, fmt.Errorf("the answer is longer than %d bytes", limit)}
}
