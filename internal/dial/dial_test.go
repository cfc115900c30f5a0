package dial

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/springrail/springrail/internal/spec"
)

func TestDial(t *testing.T) {
	spec.Run(t, "Dial")
}

var _ = Describe("a connection", func() {
	It("has the system's timeout for unacknowledged data set", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		c, err := New(time.Second).Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		raw, err := c.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		got := 0
		Expect(raw.Control(func(fd uintptr) {
			got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(int(AckTimeout.Milliseconds())))
	})
})
