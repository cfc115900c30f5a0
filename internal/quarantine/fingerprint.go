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

// Fingerprint identifies what crashes upstreams: a request across its retries, whoever sends it, a part of prompts, or several
// such parts together. It also identifies an organisation's use of each of these.
type Fingerprint [fingerprintBytes]byte

// Labels take the place of the method, none of which has a space.
const (
	partLabel           = "prompt part"
	requestContentLabel = "request content"
	partContentLabel    = "prompt part content"
	keyLabel            = "API key"
)

// Of returns the fingerprint of an organisation's request: that of its method, path, query, organisation and body. Target is the
// path and query as the caller sent them, and body the buffered part of the body. It excludes headers, because IDs and deadlines
// differ between retries, and the host, because routes of several hosts lead to the same upstreams.
func Of(method, target string, o id.Organisation, body []byte) Fingerprint {
	return hash(body, method, target, string(o))
}

// OfContent is like Of, for a request whoever sends it.
func OfContent(method, target string, body []byte) Fingerprint {
	return hash(body, requestContentLabel, method, target)
}

// OfPart returns the fingerprint of a part of an organisation's prompts for a model.
func OfPart(m id.Model, o id.Organisation, p id.PromptPart) Fingerprint {
	return hash(nil, partLabel, string(m), string(o), string(p))
}

// OfPartContent returns the fingerprint of a part of prompts, whoever sends it and to whichever model.
func OfPartContent(p id.PromptPart) Fingerprint {
	return hash(nil, partContentLabel, string(p))
}

// OfKey returns the fingerprint of a caller's API key, for requests for a model.
func OfKey(m id.Model, key string) Fingerprint {
	return hash(nil, keyLabel, string(m), key)
}

// ofTogether returns the fingerprint of parts, which are in order; that of one part is its own.
func ofTogether(parts []Fingerprint) Fingerprint {
	if len(parts) == 1 {
		return parts[0]
	}
	var all []byte
	for _, p := range parts {
		all = append(all, p[:]...)
	}
	return hash(all, partLabel)
}

func hash(rest []byte, fields ...string) Fingerprint {
	h := sha256.New()
	for _, s := range fields {
		// The length prefix makes the concatenation of the fields unambiguous.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(rest)
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
