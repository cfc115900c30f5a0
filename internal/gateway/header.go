package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionFields concern one connection and are not passed on (RFC 9110, 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passOn copies a header without the fields that concern one connection.
func passOn(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionFields {
		delete(out, name)
	}
	return out
}

// headerBytes is the size of a header as it came, but for the request line.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
