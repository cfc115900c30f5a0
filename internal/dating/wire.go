package dating

import pb "github.com/springrail/springrail/gen/springrail/v1"

// Tell is an origin as processes tell it each other; nil where there is none.
func (o Origin) Tell() *pb.DateOrigin {
	if o == (Origin{}) {
		return nil
	}
	return &pb.DateOrigin{By: o.By, Evidence: pb.Evidence(o.Evidence)}
}

// Told is the origin that another process tells.
func Told(o *pb.DateOrigin) Origin {
	e := o.GetEvidence()
	if e < 0 || int(e) >= len(evidenceNames) {
		e = pb.Evidence_EVIDENCE_UNSPECIFIED
	}
	return Origin{By: o.GetBy(), Evidence: Evidence(e)}
}
