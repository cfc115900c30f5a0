package upconn

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a watch on an address", func() {
	ctx := context.Background()
	pool := func(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
		return New(dial, time.Now, func(http.Header, http.Header) bool { return true })
	}
	listen := func() (net.Listener, *Pool, *Watch) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		p := pool((&net.Dialer{}).DialContext)
		return l, p, p.Watch(l.Addr().String(), 0)
	}

	It("sees that a listener closes after it has accepted a connection, also if that stays open", func() {
		l, _, w := listen()
		Expect(w.Look(ctx)).To(Equal(Accepted))
		Expect(w.Look(ctx)).To(Equal(Accepted))
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(l.Close()).To(Succeed())
		Eventually(func() Presence { return w.Look(ctx) }).Should(Equal(Refused))
	})

	It("sees that connections are turned away", func() {
		l, _, w := listen()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				c.Close()
			}
		}()
		Expect(w.Look(ctx)).To(Equal(Accepted))
		for range 3 {
			Eventually(func() Presence { return w.Look(ctx) }).Should(Equal(TurnedAway))
		}
	})

	It("keeps its connection for the next request, or closes it", func() {
		l, p, w := listen()
		Expect(w.Look(ctx)).To(Equal(Accepted))
		w.Keep()
		Expect(p.idle.conns[l.Addr().String()]).To(HaveLen(1))
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		p.CloseIdle(l.Addr().String())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(w.Look(ctx)).To(Equal(Accepted))
		c, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		w.Close()
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(p.idle.conns[l.Addr().String()]).To(BeEmpty())
	})

	It("is inconclusive when the dial times out", func() {
		p := pool(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		shortCtx, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		defer stop()
		Expect(p.Watch("127.0.0.1:1", 0).Look(shortCtx)).To(Equal(Unanswered))
	})
})
