// Package rpc is the listener for messages between processes and the client side of it: TLS with the fleet's keys,
// HTTP/2, and the hybrid logical time on every message.
package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// ErrTLSFiles says that the fleet's key files can't be used.
var ErrTLSFiles = errors.New("key files can't be used")

// keyRecheck is how long loaded keys are used before the files are looked at again.
const keyRecheck = 2 * time.Second

// keys are the fleet's certificate, key and authority, read again when their files change.
type keys struct {
	certFile, keyFile, caFile string
	mu                        sync.Mutex
	checked                   time.Time
	modified                  time.Time
	cert                      *tls.Certificate
	pool                      *x509.CertPool
}

func newKeys(certFile, keyFile, caFile string) (*keys, error) {
	k := &keys{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return k, k.read()
}

// read loads the files; on an error the keys in use stay.
func (k *keys) read() error {
	cert, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return trace.Wrap(errors.Join(ErrTLSFiles, err), "certificate %s with key %s", k.certFile, k.keyFile)
	}
	pem, err := os.ReadFile(k.caFile)
	if err != nil {
		return trace.Wrap(errors.Join(ErrTLSFiles, err), "authority %s", k.caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return trace.Wrap(ErrTLSFiles, "authority %s holds no certificate", k.caFile)
	}
	k.cert, k.pool = &cert, pool
	return nil
}

// current returns the newest usable keys.
func (k *keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) > keyRecheck {
		k.checked = now
		if m := newest(k.certFile, k.keyFile, k.caFile); m.After(k.modified) && k.read() == nil {
			k.modified = m
		}
	}
	return k.cert, k.pool
}

func newest(files ...string) time.Time {
	var t time.Time
	for _, f := range files {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

// server returns the listener's settings: the peer must show a certificate of the same authority.
func (k *keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// client returns the dialer's settings. Addresses are IP numbers that the certificates may not name, so the chain
// is verified against the authority without the host name.
func (k *keys) client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection below checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := k.current()
			between := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				between.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: between})
			return err
		},
	}
}
