package rpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/spec"
)

func TestRPC(t *testing.T) {
	spec.Run(t, "Messages between processes")
}

// testCA is the certificate authority of a fleet.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA() testCA {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, _ := x509.ParseCertificate(der)
	return testCA{cert: cert, key: key}
}

// settings writes the TLS files of a process, valid until the given time, and returns the settings that refer to them.
func (a testCA) settings(dir string, until time.Time) *Settings {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: until, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	private, _ := x509.MarshalECPrivateKey(key)
	write := func(name, kind string, b []byte) string {
		file := filepath.Join(dir, name)
		Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
		return file
	}
	return &Settings{
		Listen: "127.0.0.1:0", Cert: write("cert", "CERTIFICATE", der), Key: write("key", "EC PRIVATE KEY", private),
		CA: write("ca", "CERTIFICATE", a.cert.Raw),
	}
}

func startServer(s *Settings) *Server {
	r, err := New(s, kernel.NewClock(time.Now))
	Expect(err).NotTo(HaveOccurred())
	r.Handle("GET /who", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "me") }))
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = r.Run(ctx) }()
	return r
}

func request(from, to *Server) (string, error) {
	a, err := from.ChunkClient().Get(to.URL(to.Address()) + "/who")
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

var _ = Describe("the TLS files", func() {
	inOneHour := func() time.Time { return time.Now().Add(time.Hour) }

	It("admit processes of the same fleet, and reject other CAs, expired certificates and connections without TLS", func() {
		fleet := newTestCA()
		a, b := startServer(fleet.settings(GinkgoT().TempDir(), inOneHour())), startServer(fleet.settings(GinkgoT().TempDir(), inOneHour()))
		got, err := request(a, b)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("me"))
		otherFleet := startServer(newTestCA().settings(GinkgoT().TempDir(), inOneHour()))
		_, err = request(otherFleet, b)
		Expect(err).To(HaveOccurred())
		expired := startServer(fleet.settings(GinkgoT().TempDir(), time.Now().Add(-time.Minute)))
		_, err = request(expired, b)
		Expect(err).To(HaveOccurred())
		_, err = request(a, expired)
		Expect(err).To(HaveOccurred())
		_, err = http.Get("http://" + b.Address() + "/who")
		rejected := err != nil
		if err == nil {
			r, _ := http.Get("http://" + b.Address() + "/who")
			rejected = r.StatusCode == http.StatusBadRequest
		}
		Expect(rejected).To(BeTrue(), "a request without TLS must fail")
	})

	It("are reloaded when they change, without a restart", func() {
		old, next := newTestCA(), newTestCA()
		dir := GinkgoT().TempDir()
		a := startServer(old.settings(dir, inOneHour()))
		b := startServer(next.settings(GinkgoT().TempDir(), inOneHour()))
		_, err := request(b, a)
		Expect(err).To(HaveOccurred())
		next.settings(dir, inOneHour())
		Eventually(func() error { _, err := request(b, a); return err }, "8s", "200ms").Should(Succeed())
	})

	It("are named in the error if they can't be loaded at the start", func() {
		s := newTestCA().settings(GinkgoT().TempDir(), inOneHour())
		Expect(os.WriteFile(s.Key, []byte("no key"), 0o600)).To(Succeed())
		_, err := New(s, kernel.NewClock(time.Now))
		Expect(errors.Is(err, ErrTLSFiles)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(s.Key))
	})
})
