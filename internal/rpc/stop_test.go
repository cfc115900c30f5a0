package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/kernel"
)

var _ = Describe("a graceful shutdown", func() {
	It("sends a response that a handler has written to its last byte", func() {
		var lost atomic.Int32
		var wait sync.WaitGroup
		for range 16 {
			wait.Go(func() {
				defer GinkgoRecover()
				for range 20 {
					if responseAtShutdown() != "partpartpartend" {
						lost.Add(1)
					}
				}
			})
		}
		wait.Wait()
		Expect(lost.Load()).To(BeZero(), "truncated responses")
	})
})

// responseAtShutdown returns the response that a client receives from a server that stops as soon as its handler returns.
func responseAtShutdown() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := NewWithDialer(l, (&net.Dialer{}).DialContext, kernel.NewClock(time.Now))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.Handle("/answer", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A process finishes draining with its last handler and stops the server immediately afterwards.
		defer stop()
		for range 3 {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "end")
	}))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	a, err := s.messageClient.Get(s.URL(s.Address()) + "/answer")
	if err != nil {
		return err.Error()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return err.Error()
	}
	s.messageClient.CloseIdleConnections()
	Eventually(ended).WithTimeout(2 * time.Second).Should(BeClosed())
	return string(b)
}
