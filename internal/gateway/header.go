package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns a copy of a header without the hop-by-hop fields.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// headerSize returns the size of a header as received, without the request line.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
