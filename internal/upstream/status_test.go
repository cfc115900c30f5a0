package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var _ = Describe("an answer of an upstream with an invalid status", func() {
	// Guards against a status that an entry can't pass on, which breaks off its caller's connection.
	DescribeTable("is reported as failed and not passed on", func(status int) {
		var sent atomic.Int32
		client, _ := startAgent(&sent, func(r *http.Request) (*http.Response, error) {
			h := http.Header{"X-Request-Id": {"1"}}
			return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader("body")), Request: r}, nil
		})
		r, err := client.Run(context.Background(), &pb.RunRequest{RequestId: "1", Method: "POST", Path: "/", RemainingMs: time.Minute.Milliseconds()})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Receive()).To(BeTrue())
		Expect(r.Msg().GetHead()).To(BeNil())
		Expect(r.Msg().GetFailed()).NotTo(BeNil())
	}, Entry("000", 0), Entry("099", 99), Entry("101", 101), Entry("600", 600), Entry("999", 999))
})
