package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/checkedjson"
	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/placement/presets"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// resetKeyLen is the length of the key of stateless resets, in bytes.
const resetKeyLen = 32

// Checkable is a type of settings that checks its own fields.
type Checkable interface {
	Balancer | Agent | OnRamp
	check(c checker)
}

// Load reads and checks a settings file. The error lists every fault, one per line.
func Load[T Checkable](path string) (T, error) {
	return checkedjson.Load(path, check[T])
}

// Parse decodes and checks the text of a settings file, and returns every fault.
func Parse[T Checkable](raw []byte) (T, []fault.Fault) {
	return checkedjson.Parse(raw, check[T])
}

func check[T Checkable](value T, c *checkedjson.Checker) {
	value.check(checker{c})
}

// checker checks fields of settings and collects their faults.
type checker struct {
	*checkedjson.Checker
}

func (c checker) networks(list []netip.Prefix, field string) {
	c.Require(len(list) > 0, field, "missing, want at least one network")
}

func (c checker) secret(path, field string, length int) {
	if path == "" {
		c.Require(false, field, "missing")
		return
	}
	_, err := ReadSecret(path, length)
	c.Require(err == nil, field, "%v", err)
}

func (c checker) file(path, field string) {
	if path == "" {
		c.Require(false, field, "missing")
		return
	}
	_, err := os.Stat(path)
	c.Require(err == nil, field, "%v", err)
}

func (c checker) log(l Log) {
	c.Require(lo.Contains([]string{"", "debug", "info", "warn", "error"}, l.Level), "log.level", "%q is not debug, info, warn or error", l.Level)
	c.Require(lo.Contains([]string{"", "json", "console"}, l.Format), "log.format", "%q is not json or console", l.Format)
}

func (c checker) common(s Common) {
	c.Text(s.Name, "name")
	c.Text(s.Zone, "zone")
	c.Address(s.Status, "status")
	u, err := url.Parse(s.Platform)
	c.Require(err == nil && u.Scheme == "http" && u.Host != "", "platform", "%q is not an http URL", s.Platform)
	c.networks(s.PeerNetworks, "peerNetworks")
	c.keys(s)
	c.log(s.Log)
}

func (c checker) keys(s Common) {
	seen := make(map[uint8]bool)
	for i, k := range s.Keys {
		field := fmt.Sprintf("connectionIdKeys[%d]", i)
		c.Require(k.Epoch < connid.Epochs, field+".epoch", "%d, want 0 to %d", k.Epoch, connid.Epochs-1)
		c.Require(!seen[k.Epoch], field+".epoch", "%d is listed twice", k.Epoch)
		c.secret(k.File, field+".file", connid.KeyLen)
		seen[k.Epoch] = true
	}
	c.Require(seen[s.SealEpoch], "sealEpoch", "no key for epoch %d", s.SealEpoch)
}

func (s Balancer) check(c checker) {
	c.common(s.Common)
	c.Address(s.Front, "front")
	c.Address(s.Fabric, "fabric")
	c.Address(s.Back, "back")
	c.networks(s.AgentNetworks, "agentNetworks")
	c.secret(s.HashSecretFile, "hashSecretFile", connid.KeyLen)
}

func (s Agent) check(c checker) {
	c.common(s.Common)
	c.Text(s.Service, "service")
	c.Address(s.Relay, "relay")
	c.Address(s.Backend, "backend")
	c.secret(s.ResetKeyFile, "resetKeyFile", resetKeyLen)
	c.file(s.CertificateFile, "certificateFile")
	c.file(s.KeyFile, "keyFile")
	_, err := presets.Preset(s.Placement).Policy()
	c.Require(err == nil, "placement", "%v", err)
}

func (s OnRamp) check(c checker) {
	c.Address(s.Listen, "listen")
	c.Address(s.Address, "address")
	c.Text(s.Service, "service")
	kind := request.Kind(s.Kind)
	c.Require(kind.Valid(), "kind", "%q is not session, once or repeatable", s.Kind)
	c.file(s.AuthorityFile, "authorityFile")
	c.log(s.Log)
}
