package rpc

import (
	"bufio"
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

	It("answers a request on a connection that was open when it began", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
		})}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = Serve(ctx, server, l, nil)
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		// Connections are accepted in turn, so that the one above has been once this one is served.
		Expect(answerOn(l.Addr().String())).To(Equal("answer"))
		stop()
		Eventually(func() error { return errorOfDial(l.Addr().String()) }).Should(HaveOccurred())

		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: server\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		Expect(io.ReadAll(a.Body)).To(BeEquivalentTo("answer"))
		Expect(a.Close).To(BeTrue(), "the answer closes the connection")
		Eventually(ended).WithTimeout(2 * time.Second).Should(BeClosed())
	})
})

func errorOfDial(address string) error {
	c, err := net.Dial("tcp", address)
	if err == nil {
		c.Close()
	}
	return err
}

// answerOn returns the answer to a request on a connection of its own.
func answerOn(address string) string {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + address)
	Expect(err).NotTo(HaveOccurred())
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

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
