package forwarder

import (
	"net/http"
	"strings"
)

// The headers that concern one connection only, or that belong to us.
var notForwarded = map[string]bool{
	"Authorization":       true, // the caller's key for us
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Idempotency-Key":     true, // set from the request
	"X-Idempotency-Key":   true, // net/http sends requests with it again by itself
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

const ownPrefix = "Lacewingdoor-"

// copyHeader copies to dst what is passed on of src.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if notForwarded[name] || strings.HasPrefix(name, ownPrefix) {
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
