package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var _ = Describe("the relay of datagrams", func() {
	// Each spec has addresses of its own, as a socket is closed some time after its context has ended.
	spec := 0
	var ip, from string
	var relay *Relay
	var receiver, sender *net.UDPConn
	BeforeEach(func() {
		spec++
		ip, from = fmt.Sprintf("127.99.%d.1", spec), fmt.Sprintf("127.99.%d.2", spec)
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		relay = newRelay(1, func(string) {})
		Expect(relay.Serve(ctx, ip)).To(Succeed())
		var err error
		receiver, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: processPort})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(receiver.Close)
		sender, err = net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(from)}, &net.UDPAddr{IP: net.ParseIP(ip), Port: relayPort})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
	})
	send := func(b []byte) {
		_, err := sender.Write(b)
		Expect(err).NotTo(HaveOccurred())
	}
	// receive returns the datagrams that arrive until none has for a while.
	receive := func() (l [][]byte) {
		for {
			b := make([]byte, maxDatagramBytes)
			_ = receiver.SetReadDeadline(time.Now().Add(4 * maxDatagramDelay))
			n, err := receiver.Read(b)
			if err != nil {
				return l
			}
			l = append(l, b[:n])
		}
	}

	It("replaces the sender's port, so that answers pass the relay too", func() {
		b, err := proto.Marshal(&pb.ReportSubscription{Permit: &pb.PermitRequest{Number: 7, Sender: "127.0.0.1:7701"}})
		Expect(err).NotTo(HaveOccurred())
		send(b)
		l := receive()
		Expect(l).To(HaveLen(1))
		var s pb.ReportSubscription
		Expect(proto.Unmarshal(l[0], &s)).To(Succeed())
		Expect(s.GetPermit().GetSender()).To(Equal("127.0.0.1:7700"))
		Expect(s.GetPermit().GetNumber()).To(Equal(uint64(7)))
	})

	DescribeTable("injects faults and ends them", func(fault string, want int) {
		relay.setShare(fault, 1)
		send([]byte("x"))
		Expect(receive()).To(HaveLen(want))
		relay.setShare(fault, 0)
		send([]byte("x"))
		Expect(receive()).To(HaveLen(1))
	}, Entry("lost", doDatagramLoss, 0), Entry("delayed", doDatagramDelay, 1), Entry("doubled", doDatagramDouble, 2))

	It("stops a process before a reservation of it is passed on, and only then", func() {
		encode := func(permit uint64) []byte {
			b, err := proto.Marshal(&pb.UpstreamReport{Permit: &pb.PermitAnswer{Permit: permit, Reservation: &pb.ReservationAnswer{}}})
			Expect(err).NotTo(HaveOccurred())
			return b
		}
		c := exec.Command("sleep", "60")
		Expect(c.Start()).To(Succeed())
		DeferCleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
		p := &Process{ip: from, cmd: c}
		state := func() string {
			b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
			Expect(err).NotTo(HaveOccurred())
			return strings.Fields(string(b))[2]
		}
		reached := make(chan bool)
		go func() { reached <- relay.stopAtReservation(context.Background(), p) }()
		Eventually(func() int { relay.mu.Lock(); defer relay.mu.Unlock(); return len(relay.onReservation) }).Should(Equal(1))
		send(encode(0))
		Expect(receive()).To(HaveLen(1))
		Expect(state()).To(Equal("S"), "a refusal holds no reservation")
		send(encode(9))
		Expect(<-reached).To(BeTrue())
		Eventually(state).Should(Equal("T"))
		Expect(receive()).To(HaveLen(1))
		ended, stop := context.WithCancel(context.Background())
		stop()
		Expect(relay.stopAtReservation(ended, p)).To(BeFalse())
	})
})
