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
	spec.Run(t, "The operator API")
}

func stateWithTokens(tokens map[string]string) *config.State {
	m := &pb.State{}
	for o, t := range tokens {
		sum := sha256.Sum256([]byte(t))
		m.Organisations = append(m.Organisations, &pb.Organisation{Id: o, OperatorTokenSha256: [][]byte{sum[:]}})
	}
	return config.FromSnapshot(m)
}

// messageAbout returns a request of a procedure with every field that holds an organisation set to the given one.
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

var _ = Describe("the auth interceptor", func() {
	service := pb.File_springrail_v1_operator_proto.Services().ByName("OperatorService")
	admin := sha256.Sum256([]byte("admin"))
	interceptor := NewAuthInterceptor([][]byte{admin[:]}, func() *config.State {
		return stateWithTokens(map[string]string{"gym": "gym-token", "hut": "hut-token"})
	})

	for i := range service.Methods().Len() {
		m := service.Methods().Get(i)
		procedure := "/" + string(service.FullName()) + "/" + string(m.Name())

		It("denies access to other organisations in "+string(m.Name()), func() {
			operator, err := interceptor.authenticate("Bearer gym-token")
			Expect(err).NotTo(HaveOccurred())
			if procedure == rpcs.OperatorServiceListOrganisationsProcedure {
				Expect(interceptor.authorise(operator, procedure, messageAbout(m, ""))).To(Succeed())
				return
			}
			Expect(interceptor.authorise(operator, procedure, messageAbout(m, "hut"))).To(MatchError(ErrNotFound))
			Expect(interceptor.authorise(operator, procedure, messageAbout(m, ""))).To(MatchError(ErrNotFound))
			if adminOnly[procedure] {
				Expect(interceptor.authorise(operator, procedure, messageAbout(m, "gym"))).To(MatchError(ErrNotFound))
			} else {
				Expect(interceptor.authorise(operator, procedure, messageAbout(m, "gym"))).To(Succeed())
			}
			administrator, err := interceptor.authenticate("Bearer admin")
			Expect(err).NotTo(HaveOccurred())
			Expect(interceptor.authorise(administrator, procedure, messageAbout(m, "hut"))).To(Succeed())
		})
	}

	It("rejects a procedure without an access rule", func() {
		administrator, _ := interceptor.authenticate("Bearer admin")
		Expect(interceptor.authorise(administrator, "/springrail.v1.OperatorService/New", &pb.GetRolloutRequest{})).To(MatchError(ErrNotFound))
	})

	DescribeTable("rejects calls without a valid token", func(header string) {
		_, err := interceptor.authenticate(header)
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
