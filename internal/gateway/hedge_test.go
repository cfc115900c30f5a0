package gateway

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a hedge of a stream that has begun", func() {
	It("is expected to take only as long as the rest of the stream", func() {
		r := route(catalog.Streaming, "engines")
		b := newTestbed(r)
		f := &callerRequest{gateway: b.gateway, route: r, catalog: b.facts.Catalog(), pool: "engines"}
		whole := f.expectedAnswerTokens()
		f.events.forwarded = 3
		t := &attempt{request: f, parentCtx: context.Background(), position: f.currentPosition()}
		Expect(t.forkRequest().expectedAnswerTokens()).To(And(BeNumerically("<", whole), Equal(f.expectedAnswerTokens())))
	})
})
