// Package certificate provides a TLS certificate from files, which can be reloaded while the
// process runs.
package certificate

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/pkg/caller"
)

// Source holds the certificate in use. Its zero value holds none. It is safe for concurrent
// use.
type Source struct {
	current atomic.Pointer[tls.Certificate]
}

// Load reads a certificate and its key from PEM files. After an error the former certificate
// stays in use. Open flows keep the certificate with which they were opened.
func (s *Source) Load(certificateFile, keyFile string) error {
	c, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return merry.Prepend(err, "load certificate")
	}
	s.current.Store(&c)
	return nil
}

// TLS returns the configuration of a TLS server with this certificate: TLS 1.3 only, without
// early data.
func (s *Source) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{caller.Protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load(), nil
		},
	}
}
