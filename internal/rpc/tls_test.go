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

// authority signs certificates of one fleet.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() authority {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, _ := x509.ParseCertificate(der)
	return authority{cert: cert, key: key}
}

// settings writes a process's key files, valid until a time, and returns the settings that name them.
func (a authority) settings(dir string, until time.Time) *Settings {
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

func open(s *Settings) *Server {
	r, err := New(s, kernel.NewClock(time.Now))
	Expect(err).NotTo(HaveOccurred())
	r.Handle("GET /who", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "me") }))
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = r.Run(ctx) }()
	return r
}

func ask(from, to *Server) (string, error) {
	a, err := from.ChunkClient().Get(to.URL(to.Address()) + "/who")
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

var _ = Describe("keys", func() {
	soon := func() time.Time { return time.Now().Add(time.Hour) }

	It("let processes of one fleet talk, and refuse others, expired keys and none", func() {
		fleet := newAuthority()
		a, b := open(fleet.settings(GinkgoT().TempDir(), soon())), open(fleet.settings(GinkgoT().TempDir(), soon()))
		got, err := ask(a, b)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("me"))
		stranger := open(newAuthority().settings(GinkgoT().TempDir(), soon()))
		_, err = ask(stranger, b)
		Expect(err).To(HaveOccurred())
		expired := open(fleet.settings(GinkgoT().TempDir(), time.Now().Add(-time.Minute)))
		_, err = ask(expired, b)
		Expect(err).To(HaveOccurred())
		_, err = ask(a, expired)
		Expect(err).To(HaveOccurred())
		_, err = http.Get("http://" + b.Address() + "/who")
		plain := err != nil
		if err == nil {
			r, _ := http.Get("http://" + b.Address() + "/who")
			plain = r.StatusCode == http.StatusBadRequest
		}
		Expect(plain).To(BeTrue(), "without TLS there is no answer")
	})

	It("are read again when their files change, without a restart", func() {
		old, next := newAuthority(), newAuthority()
		dir := GinkgoT().TempDir()
		a := open(old.settings(dir, soon()))
		b := open(next.settings(GinkgoT().TempDir(), soon()))
		_, err := ask(b, a)
		Expect(err).To(HaveOccurred())
		next.settings(dir, soon())
		Eventually(func() error { _, err := ask(b, a); return err }, "8s", "200ms").Should(Succeed())
	})

	It("that can't be used are named at the start", func() {
		s := newAuthority().settings(GinkgoT().TempDir(), soon())
		Expect(os.WriteFile(s.Key, []byte("no key"), 0o600)).To(Succeed())
		_, err := New(s, kernel.NewClock(time.Now))
		Expect(errors.Is(err, ErrTLSFiles)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(s.Key))
	})
})
