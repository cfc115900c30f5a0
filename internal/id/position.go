package id

import (
	"errors"
	"strconv"

	"github.com/gravitational/trace"
)

// Position is a position in a topic of the platform's store: the era (the store epoch) and the offset in it. An era begins
// when the store is restored from an older copy. The store then assigns offsets again that it has used before, and its
// records are newer than all records of earlier eras. Positions compare as integers, by era first and then by offset. In era
// 0, which is the only one of a store without eras, a position equals its offset.
type Position uint64

// ErrPositionRange is returned if an era or an offset exceeds the range of Position.
var ErrPositionRange = errors.New("position in the store is out of range")

// offsetBits is the number of low bits of a position that hold the offset. The high bits hold the era.
const offsetBits = 40

// PositionAt returns the position for an era and an offset, or ErrPositionRange if one of them is too large.
func PositionAt(era, offset uint64) (Position, error) {
	if offset >= 1<<offsetBits || era >= 1<<(64-offsetBits) {
		return 0, trace.Wrap(ErrPositionRange, "era %d, offset %d", era, offset)
	}
	return Position(era<<offsetBits | offset), nil
}

// Era returns the store epoch of the position.
func (p Position) Era() uint64 {
	return uint64(p) >> offsetBits
}

// Offset returns the offset that the store assigned in the position's era.
func (p Position) Offset() uint64 {
	return uint64(p) & (1<<offsetBits - 1)
}

// String formats the position as era/offset, or as the offset alone in era 0.
func (p Position) String() string {
	offset := strconv.FormatUint(p.Offset(), 10)
	if p.Era() == 0 {
		return offset
	}
	return strconv.FormatUint(p.Era(), 10) + "/" + offset
}
