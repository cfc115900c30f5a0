// Package quarantine detects requests that crash the upstreams which run them, and keeps them from being sent again.
//
// A request that crashes its upstream is retried at any gateway and with a new ID each time. It is recognised by being
// in flight each time that an upstream's process ends. The detection itself uses no network: gateways pass in the
// crashes that they see and those that others report.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"github.com/springrail/springrail/internal/id"
)

// fingerprintBytes is the length of a Fingerprint. Producing two requests with the same one, or one with another
// organisation's, takes 2^64 attempts.
const fingerprintBytes = 16

// Fingerprint identifies a request across its retries: requests with the same method, path, query, organisation and body
// have the same one.
type Fingerprint [fingerprintBytes]byte

// Of returns the fingerprint of a request. Target is the path and query as the caller sent them, and body the buffered
// part of the body. It excludes headers, because IDs and deadlines differ between retries, and the host, because routes
// of several hosts lead to the same upstreams.
func Of(method, target string, o id.Organisation, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, target, string(o)} {
		// The length prefix makes the concatenation of the parts unambiguous.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintBytes])
}

// String returns the form that logs and operators use.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ErrFingerprint is returned for a text or bytes that are not a fingerprint.
var ErrFingerprint = errors.New("not a fingerprint: 32 hexadecimal digits are expected")

// Parse parses the output of String.
func Parse(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, ErrFingerprint
	}
	return FromBytes(b)
}

// FromBytes decodes a fingerprint from a message.
func FromBytes(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintBytes {
		return Fingerprint{}, ErrFingerprint
	}
	return Fingerprint(b), nil
}
