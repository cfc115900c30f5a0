package quarantine

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// proto encodes a held request as its record.
func (h *HeldRequest) toProto() *pb.HeldRequest {
	m := &pb.HeldRequest{Organisation: string(h.Organisation), By: string(h.HeldBy), SinceUnixMs: h.SinceUnixMs, Parts: fingerprintsToProto(h.Parts), Exempt: fingerprintsToProto(h.Exempt)}
	for _, u := range h.Uses {
		m.Uses = append(m.Uses, u.toProto())
	}
	starts := &m.Starts
	if len(h.Uses) > 0 {
		starts = &m.Ended
	}
	for _, s := range h.Incarnations {
		*starts = append(*starts, s.toProto())
	}
	return m
}

// listed encodes a held request for operators, whose tools may be older.
func (h *HeldRequest) listed() *pb.HeldRequest {
	m := h.toProto()
	m.Starts, m.Ended = append(m.Starts, m.Ended...), nil
	return m
}

func decodeHeld(f Fingerprint, value []byte) (HeldRequest, error) {
	var m pb.HeldRequest
	if err := proto.Unmarshal(value, &m); err != nil {
		return HeldRequest{}, trace.Wrap(err)
	}
	return heldFromProto(f, &m)
}

func heldFromProto(f Fingerprint, m *pb.HeldRequest) (HeldRequest, error) {
	parts, err := fingerprintsFromProto(m.GetParts())
	if err != nil {
		return HeldRequest{}, err
	}
	h := HeldRequest{Fingerprint: f, Organisation: id.Organisation(m.GetOrganisation()), HeldBy: id.VM(m.GetBy()), SinceUnixMs: m.GetSinceUnixMs(), Parts: parts}
	if h.Exempt, err = fingerprintsFromProto(m.GetExempt()); err != nil {
		return HeldRequest{}, err
	}
	for _, u := range m.GetUses() {
		decoded, err := heldUseFromProto(u, max(1, len(parts)))
		if err != nil {
			return HeldRequest{}, err
		}
		h.Uses = append(h.Uses, decoded)
	}
	for _, s := range append(m.GetStarts(), m.GetEnded()...) {
		h.Incarnations = append(h.Incarnations, incarnationFromProto(s))
	}
	return h, nil
}

func (u *HeldUse) toProto() *pb.HeldUse {
	m := &pb.HeldUse{Organisation: string(u.Organisation), Fingerprints: fingerprintsToProto(u.Fingerprints)}
	if u.Key != (Fingerprint{}) {
		m.Key = u.Key[:]
	}
	return m
}

// heldUseFromProto decodes a use with a number of fingerprints, or returns ErrFingerprint.
func heldUseFromProto(m *pb.HeldUse, number int) (u HeldUse, err error) {
	u.Organisation = id.Organisation(m.GetOrganisation())
	if u.Fingerprints, err = fingerprintsFromProto(m.GetFingerprints()); err != nil {
		return u, err
	}
	if len(u.Fingerprints) != number {
		return u, ErrFingerprint
	}
	if len(m.GetKey()) > 0 {
		u.Key, err = FromBytes(m.GetKey())
	}
	return u, err
}
