package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// requestBody is the body of a request to an executor. net/http cannot rewind it to
// retry the request.
type requestBody struct {
	unread []byte
}

// Read implements [io.Reader].
func (b *requestBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements [io.Closer].
func (b *requestBody) Close() error { return nil }

// responseError is the error for an invalid or too large response.
type responseError struct {
	code router.Code
	err  error
}

func (e *responseError) Error() string { return e.err.Error() }

func (e *responseError) Unwrap() error { return e.err }

// readResponse reads the body of a response. It returns an error if the body is
// incomplete or larger than limit.
func readResponse(p *http.Response, limit int64) ([]byte, error) {
	if p.Request.Method == http.MethodHead {
		p.Header.Del(connector.HeaderDigest) // digest of a body that is not sent
		return nil, nil
	}
	if p.ContentLength > limit {
		return nil, responseTooLarge(limit)
	}
	if p.ContentLength >= 0 {
		return readExactly(p.Body, p.ContentLength)
	}
	if p.ProtoMajor == 1 && len(p.TransferEncoding) == 0 && p.Header.Get(connector.HeaderDigest) == "" {
		return nil, &responseError{router.CodeBadAnswer, errors.New("response has neither a Content-Length nor a digest, so truncation cannot be detected")}
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("response truncated after %d bytes: %w", len(b), err)
	}
	if int64(len(b)) > limit {
		return nil, responseTooLarge(limit)
	}
	return b, nil
}

// readExactly reads n bytes and returns an error if there are fewer or more.
func readExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, n)
	if got, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("response truncated after %d of %d bytes: %w", got, n, err)
	}
	var extra [1]byte
	if _, err := r.Read(extra[:]); !errors.Is(err, io.EOF) {
		return nil, &responseError{router.CodeBadAnswer, errors.New("response is longer than its Content-Length")}
	}
	return b, nil
}

// responseTooLarge returns the error for a response body above limit.
func responseTooLarge(limit int64) error {
	return &responseError{router.CodeAnswerTooLarge, fmt.Errorf("response is larger than the limit of %d bytes", limit)}
}
