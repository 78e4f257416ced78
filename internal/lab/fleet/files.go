package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Lengths of generated keys, in bytes.
const (
	blockKeyLen = 16
	resetKeyLen = 32
)

// certificateLifetime is the time for which generated certificates are valid.
const certificateLifetime = 30 * 24 * time.Hour

// Write generates the keys and certificates and writes all files to Dir: secrets,
// certificates, authority.pem, and the settings.
func (p Plan) Write() error {
	for name, length := range map[string]int{"connid-0.key": blockKeyLen, "connid-1.key": blockKeyLen, "hash.key": blockKeyLen, "reset.key": resetKeyLen} {
		if err := p.writeSecret(name, length); err != nil {
			return err
		}
	}
	if err := p.writeCertificates(); err != nil {
		return err
	}
	return p.WriteSettings()
}

// WriteSettings writes the settings of every balancer as balancer-N.json, of every agent as
// VM.json, and of the on-ramp of every service as connect-SERVICE.json.
func (p Plan) WriteSettings() error {
	for i := range p.Balancers {
		if err := p.writeFile(fmt.Sprintf("balancer-%d.json", i+1), mustJSON(p.BalancerSettings(i+1))); err != nil {
			return err
		}
	}
	for _, s := range p.Services {
		if err := p.writeFile("connect-"+s.Name+".json", mustJSON(p.OnRampSettings(s.Name, request.Repeatable))); err != nil {
			return err
		}
	}
	for _, e := range p.Endpoints() {
		if err := p.WriteAgentSettings(e); err != nil {
			return err
		}
	}
	return nil
}

// WriteAgentSettings writes the settings of one agent as VM.json, where VM is the name of
// its VM.
func (p Plan) WriteAgentSettings(e Endpoint) error {
	return p.writeFile(e.VM+".json", mustJSON(p.AgentSettings(e)))
}

// AuthorityFile returns the path of the certificate of the certificate authority.
func (p Plan) AuthorityFile() string {
	return p.path("authority.pem")
}

// CallerTLS returns the TLS configuration with which callers verify the certificates of
// agents. It reads AuthorityFile.
func (p Plan) CallerTLS() (*tls.Config, error) {
	b, err := os.ReadFile(p.AuthorityFile())
	if err != nil {
		return nil, merry.Wrap(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(b)
	return &tls.Config{RootCAs: pool}, nil
}

func (p Plan) writeSecret(name string, length int) error {
	b := make([]byte, length)
	if _, err := rand.Read(b); err != nil {
		return merry.Wrap(err)
	}
	return p.writeFile(name, []byte(hex.EncodeToString(b)+"\n"))
}

func (p Plan) writeCertificates() error {
	authority := certificateTemplate(1, "bergamotgw lab authority")
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	key, err := p.issue("authority", authority, authority, nil)
	if err != nil {
		return err
	}
	for i, s := range p.Services {
		c := certificateTemplate(int64(i)+2, s.Name)
		c.DNSNames = []string{s.Name}
		c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
		if _, err := p.issue(s.Name, c, authority, key); err != nil {
			return err
		}
	}
	return nil
}

func certificateTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
}

// issue writes a certificate and its private key, and returns the key. If signer is nil, the
// certificate is self-signed.
func (p Plan) issue(name string, c, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if err := p.writeFile(name+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})); err != nil {
		return nil, err
	}
	return key, p.writeFile(name+".key", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))
}

func (p Plan) writeFile(name string, content []byte) error {
	return merry.Wrap(os.WriteFile(p.path(name), content, 0o600))
}
