package httpconn

import "net/http"

// maxStatus is the highest valid status code (RFC 9110, section 15).
const maxStatus = 599

// IsFinalStatus reports whether a response with this status answers its request. Package net/http also parses codes that are
// invalid, from 000 to 999.
func IsFinalStatus(code int) bool {
	return code >= http.StatusOK && code <= maxStatus
}
