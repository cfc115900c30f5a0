// Package quarantine finds requests that crash the upstreams which run them, and keeps them from being sent on.
//
// A request that crashes its upstream comes again, at any gateway and under a new id each time. What tells it from others is
// that it was there each time that an upstream's process ended. The package knows no network: gateways tell it what they see,
// and what others have seen.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"github.com/springrail/springrail/internal/id"
)

// fingerprintBytes is the length of a Fingerprint. Nobody can make two requests with the same one, or one with another
// organisation's, in fewer than 2^64 tries.
const fingerprintBytes = 16

// Fingerprint tells a request from others across its repeats: requests with the same method, path, query, organisation and
// body have the same one.
type Fingerprint [fingerprintBytes]byte

// Of returns the fingerprint of a request. Target is the path and query as the caller sent them, and body what of the body is
// held. Headers are left out, as ids and deadlines differ between repeats, and so is the host, as routes of several hosts
// lead to the same upstreams.
func Of(method, target string, o id.Organisation, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, target, string(o)} {
		// With its length before it, no part can run over into the next one.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintBytes])
}

// String is the form that logs and operators see.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ErrFingerprint says that a text or some bytes are no fingerprint.
var ErrFingerprint = errors.New("not a fingerprint: 32 hexadecimal digits are expected")

// Parse reads what String wrote.
func Parse(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, ErrFingerprint
	}
	return FromBytes(b)
}

// FromBytes reads a fingerprint as messages carry it.
func FromBytes(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintBytes {
		return Fingerprint{}, ErrFingerprint
	}
	return Fingerprint(b), nil
}
