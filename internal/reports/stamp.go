package reports

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// stamps mark the moments at which a gateway sends its subscriptions. Reports bring the newest one back that their
// stager had, which proves that they were made after it: datagrams tell nothing of how long they were on their way, and
// behind chunks of weights on a link of 0.2 to 0.6 Mbit/s that is seconds.
type stamps struct {
	// start is what stamps count from, and life tells the stamps of this start of the process from those of an earlier one.
	start time.Time
	life  uint64
}

// lifeBits is how many bits of a stamp tell the start of the process. With 16 a stamp takes 6 to 7 bytes in a datagram of 150.
const lifeBits = 16

func newStamps(now time.Time) stamps {
	return stamps{start: now, life: rand.Uint64N(1 << lifeBits)}
}

// at is the stamp of a moment.
func (s *stamps) at(now time.Time) uint64 {
	return uint64(now.Sub(s.start).Milliseconds())<<lifeBits | s.life
}

// moment is when the process sent a stamp, or a little earlier; zero for one that is not of this start of it.
func (s *stamps) moment(stamp uint64, now time.Time) time.Time {
	since := time.Duration(stamp>>lifeBits) * time.Millisecond
	if stamp == 0 || stamp&(1<<lifeBits-1) != s.life || since > now.Sub(s.start) {
		return time.Time{}
	}
	return s.start.Add(since)
}

// echoField and heldField are the numbers of UpstreamReport.echo and echo_held_ms.
const echoField, heldField = 21, 22

// withEcho adds the receiver's stamp, and how long it has been here, to a report that is encoded once for all receivers.
func withEcho(text []byte, stamp uint64, held time.Duration) []byte {
	if stamp == 0 {
		return text
	}
	b := protowire.AppendTag(text[:len(text):len(text)], echoField, protowire.VarintType)
	b = protowire.AppendVarint(b, stamp)
	b = protowire.AppendTag(b, heldField, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(max(0, held.Milliseconds())))
}
