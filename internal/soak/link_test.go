package soak

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a link", func() {
	// echo sends a byte over a connection and waits for its echo; it returns the error if none arrives soon.
	echo := func(c net.Conn) error {
		_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	var l *Link
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(echo(c)).To(Or(Succeed(), MatchError(ContainSubstring("timeout"))))
		return c
	}
	BeforeEach(func() {
		var err error
		l, err = listenLink("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
	})

	It("silences a connection for good without a reset while new ones work", func() {
		existing := dial()
		var discarded atomic.Int32
		l.onFaultyRead = func(data []byte) { discarded.Add(int32(len(data))) }
		l.SetSilent(false)
		Expect(echo(existing)).To(MatchError(ContainSubstring("timeout")))
		Expect(discarded.Load()).To(Equal(int32(1)), "an attempt over a silent link counts as one")
		Expect(echo(dial())).To(Succeed())
		Expect(discarded.Load()).To(Equal(int32(1)))
		l.SetSilent(false)
		Expect(echo(existing)).To(MatchError(ContainSubstring("timeout")))
	})

	It("silences new connections too until it is reset", func() {
		l.SetSilent(true)
		Expect(echo(dial())).To(HaveOccurred())
		l.SetSilent(false)
		Expect(echo(dial())).To(Succeed())
	})

	It("stays open and silent once its process has ended in silence, until the next one starts", func() {
		c := dial()
		l.FallSilent()
		l.mu.Lock()
		served := l.conns
		l.mu.Unlock()
		for k := range served {
			k.Close()
		}
		Expect(echo(c)).To(MatchError(ContainSubstring("timeout")))
		Expect(echo(dial())).To(MatchError(ContainSubstring("timeout")))
		l.EndSilence(false)
		Expect(echo(c)).To(MatchError(ContainSubstring("timeout")))
		l.EndSilence(true)
		Expect(echo(c)).To(MatchError(Not(ContainSubstring("timeout"))))
	})

	It("holds answers and releases them afterwards", func() {
		c := dial()
		l.HoldAnswers(true)
		Expect(echo(c)).To(MatchError(ContainSubstring("timeout")))
		l.HoldAnswers(false)
		Expect(echo(c)).To(Succeed())
	})

	It("resets its connections, delays incoming data, and closes", func() {
		c := dial()
		l.Reset()
		Expect(echo(c)).To(HaveOccurred())
		l.SetDelay(100 * time.Millisecond)
		c = dial()
		start := time.Now()
		Expect(echo(c)).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically(">=", 100*time.Millisecond))
		l.Close()
		Expect(echo(c)).To(HaveOccurred())
		_, err := net.Dial("tcp", l.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})
