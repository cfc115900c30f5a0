package records

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/springrail/springrail/internal/id"
)

// checksums is computed by the processor itself: each process of a failure domain sums each configuration, of up to 600
// KB, twice a change.
var checksums = crc32.MakeTable(crc32.Castagnoli)

// spread makes the sum of checksums, which have 32 bits, one of 64: an odd number without a pattern.
const spread = 0x9E3779B97F4A7C15

// digestOf is a record's part in the digest of all that is held, which is the sum of the parts: a change costs one record's
// checksum, and the order in which changes came does not count. A dropped key has none.
func digestOf(r Record) uint64 {
	if r.Value == nil {
		return 0
	}
	head := append(binary.AppendUvarint(nil, uint64(len(r.Key))), r.Key...)
	return spread * (1 + uint64(crc32.Update(crc32.Checksum(head, checksums), checksums, r.Value)))
}

// Differs says whether a source that has read just as far as this process holds other records. A source that has read all
// anew after a gap can't tell as changes what came and went in it, and a follower may have read that itself.
func (l *Log) Differs(next id.Position, digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return next == l.next && digest != l.digest
}
