package id

import (
	"errors"
	"strconv"

	"github.com/gravitational/trace"
)

// Position is a place in a topic of the platform's store: the store's era, and the offset in it. An era begins when the
// store comes back from an older copy; it gives offsets out again, and what it holds then is newer than all it held before.
// One number orders both. In era 0, which is that of a store without eras, it is the offset.
type Position uint64

// ErrPositionRange says that an era or an offset is larger than a position holds.
var ErrPositionRange = errors.New("no position in the store")

// offsetBits is the number of bits of a position that hold the offset; the others hold the era.
const offsetBits = 40

// PositionAt returns the position of an offset in an era, or ErrPositionRange.
func PositionAt(era, offset uint64) (Position, error) {
	if offset >= 1<<offsetBits || era >= 1<<(64-offsetBits) {
		return 0, trace.Wrap(ErrPositionRange, "era %d, offset %d", era, offset)
	}
	return Position(era<<offsetBits | offset), nil
}

// Era is the era of the store.
func (p Position) Era() uint64 {
	return uint64(p) >> offsetBits
}

// Offset is the place in the topic as the store counts it in that era.
func (p Position) Offset() uint64 {
	return uint64(p) & (1<<offsetBits - 1)
}

// String is the offset, behind the era where there is one.
func (p Position) String() string {
	offset := strconv.FormatUint(p.Offset(), 10)
	if p.Era() == 0 {
		return offset
	}
	return strconv.FormatUint(p.Era(), 10) + "/" + offset
}
