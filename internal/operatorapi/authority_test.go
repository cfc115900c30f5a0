package operatorapi

import (
	"crypto/sha256"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/dynamicpb"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	rpcs "github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/spec"
)

func TestOperatorAPI(t *testing.T) {
	spec.Run(t, "The operators' API")
}

func stateOf(tokens map[string]string) *config.State {
	m := &pb.State{}
	for o, t := range tokens {
		sum := sha256.Sum256([]byte(t))
		m.Organisations = append(m.Organisations, &pb.Organisation{Id: o, OperatorTokenSha256: [][]byte{sum[:]}})
	}
	return config.FromSnapshot(m)
}

// messageAbout makes a procedure's request about an organisation, wherever its schema holds the organisation.
func messageAbout(m protoreflect.MethodDescriptor, organisation string) proto.Message {
	d := dynamicpb.NewMessage(m.Input())
	fill(d, organisation)
	t, err := protoregistryType(m)
	Expect(err).NotTo(HaveOccurred())
	raw, err := proto.Marshal(d)
	Expect(err).NotTo(HaveOccurred())
	Expect(proto.Unmarshal(raw, t)).To(Succeed())
	return t
}

func fill(d protoreflect.Message, organisation string) {
	fields := d.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		isOrganisation := f.Name() == "organisation" || d.Descriptor().Name() == "Organisation" && f.Name() == "id"
		switch {
		case isOrganisation && f.Kind() == protoreflect.StringKind:
			d.Set(f, protoreflect.ValueOfString(organisation))
		case f.Kind() == protoreflect.MessageKind && !f.IsList() && (f.Name() == "rollout" || f.Name() == "organisation"):
			fill(d.Mutable(f).Message(), organisation)
		}
	}
}

var _ = Describe("authority", func() {
	service := pb.File_springrail_v1_operator_proto.Services().ByName("OperatorService")
	admin := sha256.Sum256([]byte("admin"))
	authority := NewAuthInterceptor([][]byte{admin[:]}, func() *config.State {
		return stateOf(map[string]string{"gym": "gym-token", "hut": "hut-token"})
	})

	for i := range service.Methods().Len() {
		m := service.Methods().Get(i)
		procedure := "/" + string(service.FullName()) + "/" + string(m.Name())

		It("keeps organisations apart in "+string(m.Name()), func() {
			own, err := authority.identify("Bearer gym-token")
			Expect(err).NotTo(HaveOccurred())
			if procedure == rpcs.OperatorServiceListOrganisationsProcedure {
				Expect(authority.allow(own, procedure, messageAbout(m, ""))).To(Succeed())
				return
			}
			Expect(authority.allow(own, procedure, messageAbout(m, "hut"))).To(MatchError(ErrNotFound))
			Expect(authority.allow(own, procedure, messageAbout(m, ""))).To(MatchError(ErrNotFound))
			if adminOnly[procedure] {
				Expect(authority.allow(own, procedure, messageAbout(m, "gym"))).To(MatchError(ErrNotFound))
			} else {
				Expect(authority.allow(own, procedure, messageAbout(m, "gym"))).To(Succeed())
			}
			root, err := authority.identify("Bearer admin")
			Expect(err).NotTo(HaveOccurred())
			Expect(authority.allow(root, procedure, messageAbout(m, "hut"))).To(Succeed())
		})
	}

	It("refuses a procedure that nobody has decided about", func() {
		root, _ := authority.identify("Bearer admin")
		Expect(authority.allow(root, "/springrail.v1.OperatorService/New", &pb.GetRolloutRequest{})).To(MatchError(ErrNotFound))
	})

	DescribeTable("refuses calls without a token that is in force", func(header string) {
		_, err := authority.identify(header)
		Expect(err).To(MatchError(ErrUnauthenticated))
	},
		Entry("none", ""), Entry("no scheme", "gym-token"), Entry("empty", "Bearer "),
		Entry("wrong", "Bearer other"), Entry("a hash", "Bearer "+string(admin[:])))
})

func protoregistryType(m protoreflect.MethodDescriptor) (proto.Message, error) {
	t, err := protoregistry.GlobalTypes.FindMessageByName(m.Input().FullName())
	if err != nil {
		return nil, err
	}
	return t.New().Interface(), nil
}
