package records

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/springrail/springrail/internal/id"
)

// crcTable selects CRC-32C, which processors compute in hardware: each process of a failure domain checksums each
// configuration, of up to 600 KB, twice per change.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// digestMultiplier, an odd number without a pattern, spreads 32-bit checksums over 64 bits.
const digestMultiplier = 0x9E3779B97F4A7C15

// digestOf returns a record's contribution to the log's digest, which is the sum over all keys held. A change thus
// costs one record's checksum, and the order of changes does not matter. A dropped key contributes 0.
func digestOf(r Record) uint64 {
	if r.Value == nil {
		return 0
	}
	head := append(binary.AppendUvarint(nil, uint64(len(r.Key))), r.Key...)
	return digestMultiplier * (1 + uint64(crc32.Update(crc32.Checksum(head, crcTable), crcTable, r.Value)))
}

// Differs reports whether a source at the same offset as this process holds other records. This can happen after a
// source has read a snapshot to bridge a gap: it does not report keys written and dropped within the gap, but a
// follower may have read them.
func (l *Log) Differs(next id.Position, digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return next == l.next && digest != l.digest
}
