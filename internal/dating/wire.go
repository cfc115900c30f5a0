package dating

import pb "github.com/springrail/springrail/gen/springrail/v1"

// Proto encodes a source for other processes; nil if there is none.
func (o DateSource) Proto() *pb.DateOrigin {
	if o == (DateSource{}) {
		return nil
	}
	return &pb.DateOrigin{By: o.Observer, Evidence: pb.Evidence(o.Evidence)}
}

// SourceFromProto decodes the source that another process sent. An unknown kind of evidence becomes NoEvidence.
func SourceFromProto(o *pb.DateOrigin) DateSource {
	e := o.GetEvidence()
	if e < 0 || int(e) >= len(evidenceNames) {
		e = pb.Evidence_EVIDENCE_UNSPECIFIED
	}
	return DateSource{Observer: o.GetBy(), Evidence: Evidence(e)}
}
