package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/quarantine"
)

var _ = Describe("a request with a part that is held for another organisation", func() {
	var b *testbed
	var release chan struct{}
	held := quarantine.HeldRequest{
		Fingerprint: quarantine.OfPartContent("1a"), Organisation: "gym", Parts: []quarantine.Fingerprint{quarantine.OfPartContent("1a")},
		Uses: []quarantine.HeldUse{{Organisation: "gym", Fingerprints: []quarantine.Fingerprint{quarantine.OfPart("m", "gym", "1a")}}},
	}
	send := func(name string) int {
		a, _, err := b.sendRequest("POST", "/p/", name, xModel, "m", xRequest, name, xParts, "1a")
		Expect(err).NotTo(HaveOccurred())
		return a.StatusCode
	}
	BeforeEach(func() {
		b = newTestbed(route(catalog.Streaming, "engines"))
		release = make(chan struct{})
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			if q.Header.Get(xRequest) == "first" {
				<-release
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		b.list.AddHeld(held)
	})

	It("is sent alone until one is answered", func() {
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			first <- send("first")
		}()
		Eventually(func() int { return b.upstreamCount("first") }).Should(Equal(1))
		Expect(send("second")).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("second")).To(BeZero())
		close(release)
		Eventually(first).Should(Receive(Equal(http.StatusOK)))
		Eventually(func() int { return send("third") }).Should(Equal(http.StatusOK))
	})

	It("is not sent while another gateway sends one, and is later", func() {
		b.list.NoteTry(held.Fingerprint)
		Expect(send("second")).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() int { return send("third") }).WithTimeout(5 * time.Second).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusOK))
	})
})
