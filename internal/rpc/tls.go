// Package rpc implements the transport for messages between processes, server and client: HTTP/2 with mutual TLS and a
// hybrid logical timestamp on every message.
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

// ErrTLSFiles is returned if the certificate, key or CA file can't be loaded.
var ErrTLSFiles = errors.New("the TLS files can't be loaded")

// fileCheckInterval is the minimum time between two checks whether the TLS files have changed.
const fileCheckInterval = 2 * time.Second

// certStore holds the process's certificate with its key, and the CA of the fleet. It reloads them when the files change.
type certStore struct {
	certFile, keyFile, caFile string
	mu                        sync.Mutex
	checkedAt                 time.Time
	modifiedAt                time.Time
	cert                      *tls.Certificate
	pool                      *x509.CertPool
}

func newCertStore(certFile, keyFile, caFile string) (*certStore, error) {
	k := &certStore{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return k, k.load()
}

// load reads the files. On an error the certificates that are in use remain.
func (k *certStore) load() error {
	cert, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return trace.Wrap(errors.Join(ErrTLSFiles, err), "certificate %s with key %s", k.certFile, k.keyFile)
	}
	pem, err := os.ReadFile(k.caFile)
	if err != nil {
		return trace.Wrap(errors.Join(ErrTLSFiles, err), "CA file %s", k.caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return trace.Wrap(ErrTLSFiles, "CA file %s contains no certificate", k.caFile)
	}
	k.cert, k.pool = &cert, pool
	return nil
}

// current returns the certificate and the CA pool, reloaded if the files have changed and are valid.
func (k *certStore) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checkedAt) > fileCheckInterval {
		k.checkedAt = now
		if m := lastModified(k.certFile, k.keyFile, k.caFile); m.After(k.modifiedAt) && k.load() == nil {
			k.modifiedAt = m
		}
	}
	return k.cert, k.pool
}

func lastModified(files ...string) time.Time {
	var t time.Time
	for _, f := range files {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

// serverConfig returns the TLS configuration of the listener. The client must present a certificate of the same CA.
func (k *certStore) serverConfig() *tls.Config {
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

// clientConfig returns the TLS configuration of the clients. Addresses are IP addresses, which the certificates need not
// contain, so the chain is verified against the CA without the host name.
func (k *certStore) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection below checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := k.current()
			intermediates := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
			return err
		},
	}
}
