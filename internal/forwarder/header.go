package forwarder

import (
	"net/http"
	"strings"
)

// notForwarded lists the hop-by-hop headers, and those that the entry VM itself reads
// or sets.
var notForwarded = map[string]bool{
	"Authorization":       true, // the caller's API key, for the entry VM only
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Idempotency-Key":     true, // set by newRequest from the key of the request
	"X-Idempotency-Key":   true, // net/http retries requests that have it
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// ownHeaderPrefix is the prefix of headers between entry VM and executor, which are
// not forwarded.
const ownHeaderPrefix = "Lacewingdoor-"

// copyHeader copies the headers of src to dst, without those that are not forwarded.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if notForwarded[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		dst[name] = values
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
}
