// Package certificate serves TLS certificates from files that may change while
// the process runs.
package certificate

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/pkg/caller"
)

// Source holds the certificate in use. It is safe for concurrent use.
type Source struct {
	certificateFile, keyFile string
	current                  atomic.Pointer[tls.Certificate]
}

// NewSource reads the files.
func NewSource(certificateFile, keyFile string) (*Source, error) {
	s := &Source{certificateFile: certificateFile, keyFile: keyFile}
	return s, s.Reload()
}

// Reload reads the files again. After an error the former certificate stays in
// use. Open flows keep the one they began with.
func (s *Source) Reload() error {
	c, err := tls.LoadX509KeyPair(s.certificateFile, s.keyFile)
	if err != nil {
		return merry.Prepend(err, "load certificate")
	}
	s.current.Store(&c)
	return nil
}

// TLS returns the server configuration: TLS 1.3 only, without early data.
func (s *Source) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{caller.Protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load(), nil
		},
	}
}
