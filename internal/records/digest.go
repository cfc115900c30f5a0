package records

import (
	"encoding/binary"
	"hash/fnv"
)

// digestOf is a record's part in the digest of all that is held, which is the sum of the parts: a change costs one record's
// hash, and the order in which changes came does not count. A dropped key has none.
func digestOf(r Record) uint64 {
	if r.Value == nil {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(r.Key))))
	_, _ = h.Write([]byte(r.Key))
	_, _ = h.Write(r.Value)
	return h.Sum64()
}

// Differs says whether a source that has read just as far as this process holds other records. A source that has read all
// anew after a gap can't tell as changes what came and went in it, and a follower may have read that itself.
func (l *Log) Differs(next, digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return next == l.next && digest != l.digest
}
