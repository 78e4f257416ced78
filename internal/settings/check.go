package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/placement/presets"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// resetKeyLen is the length of a stateless reset key, in bytes.
const resetKeyLen = 32

// Checkable is a settings type that can report its own faults.
type Checkable interface {
	Balancer | Agent | OnRamp
	check(c *checker)
}

// Load reads and checks a settings file. The error lists every fault, one on
// a line.
func Load[T Checkable](path string) (T, error) {
	var none T
	raw, err := os.ReadFile(path)
	if err != nil {
		return none, merry.Prepend(err, "read settings")
	}
	value, faults := Parse[T](raw)
	if len(faults) == 0 {
		return value, nil
	}
	list := lo.Map(faults, func(f fault.Fault, _ int) string { return path + ": " + f.String() })
	return none, merry.New(strings.Join(list, "\n"))
}

// Parse decodes and checks the text of a settings file.
func Parse[T Checkable](raw []byte) (T, []fault.Fault) {
	value, lines, faults := strictjson.Decode[T](raw)
	if len(faults) > 0 {
		return value, faults
	}
	c := &checker{lines: lines}
	value.check(c)
	return value, c.faults
}

// checker collects the faults of one file.
type checker struct {
	lines  strictjson.Lines
	faults []fault.Fault
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, c.lines.Fault(field, format, args...))
	}
}

func (c *checker) text(value, field string) {
	c.require(value != "", field, "missing")
}

func (c *checker) address(a netip.AddrPort, field string) {
	c.require(a.IsValid(), field, "missing")
	c.require(!a.IsValid() || a.Addr().Is4() && a.Port() != 0, field, "%s is not an IPv4 address with a port", a)
}

func (c *checker) networks(list []netip.Prefix, field string) {
	c.require(len(list) > 0, field, "missing, want at least one network")
}

func (c *checker) secret(path, field string, length int) {
	if path == "" {
		c.require(false, field, "missing")
		return
	}
	_, err := ReadSecret(path, length)
	c.require(err == nil, field, "%v", err)
}

func (c *checker) file(path, field string) {
	if path == "" {
		c.require(false, field, "missing")
		return
	}
	_, err := os.Stat(path)
	c.require(err == nil, field, "%v", err)
}

func (c *checker) log(l Log) {
	c.require(lo.Contains([]string{"", "debug", "info", "warn", "error"}, l.Level), "log.level", "%q is not debug, info, warn or error", l.Level)
	c.require(lo.Contains([]string{"", "json", "console"}, l.Format), "log.format", "%q is not json or console", l.Format)
}

func (c *checker) common(s Common) {
	c.text(s.Name, "name")
	c.text(s.Zone, "zone")
	c.address(s.Status, "status")
	u, err := url.Parse(s.Platform)
	c.require(err == nil && u.Scheme == "http" && u.Host != "", "platform", "%q is not an http URL", s.Platform)
	c.networks(s.PeerNetworks, "peerNetworks")
	c.keys(s)
	c.log(s.Log)
}

func (c *checker) keys(s Common) {
	seen := make(map[uint8]bool)
	for i, k := range s.Keys {
		field := fmt.Sprintf("connectionIdKeys[%d]", i)
		c.require(k.Epoch < connid.Epochs, field+".epoch", "%d, want 0 to %d", k.Epoch, connid.Epochs-1)
		c.require(!seen[k.Epoch], field+".epoch", "%d is listed twice", k.Epoch)
		c.secret(k.File, field+".file", connid.KeyLen)
		seen[k.Epoch] = true
	}
	c.require(seen[s.SealEpoch], "sealEpoch", "no key for epoch %d", s.SealEpoch)
}

func (s Balancer) check(c *checker) {
	c.common(s.Common)
	c.address(s.Front, "front")
	c.address(s.Fabric, "fabric")
	c.address(s.Back, "back")
	c.networks(s.AgentNetworks, "agentNetworks")
	c.secret(s.HashSecretFile, "hashSecretFile", connid.KeyLen)
}

func (s Agent) check(c *checker) {
	c.common(s.Common)
	c.text(s.Service, "service")
	c.address(s.Relay, "relay")
	c.address(s.Backend, "backend")
	c.secret(s.ResetKeyFile, "resetKeyFile", resetKeyLen)
	c.file(s.CertificateFile, "certificateFile")
	c.file(s.KeyFile, "keyFile")
	_, err := presets.Preset(s.Placement).Policy()
	c.require(err == nil, "placement", "%v", err)
}

func (s OnRamp) check(c *checker) {
	c.address(s.Listen, "listen")
	c.address(s.Address, "address")
	c.text(s.Service, "service")
	kind := request.Kind(s.Kind)
	c.require(kind.Valid(), "kind", "%q is not session, once or repeatable", s.Kind)
	c.file(s.AuthorityFile, "authorityFile")
	c.log(s.Log)
}
