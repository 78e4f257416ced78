// Package fleet plans a complete system on loopback addresses, for the demo, experiments and
// tests: it assigns the addresses and generates settings, keys, certificates and the entries
// that the platform publishes.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/settings"
	"github.com/bergamotgw/bergamotgw/internal/vm"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Ports on which the processes listen, each at an address of its own.
const (
	servicePort = 4433
	frontPort   = 4500
	peerPort    = 4600
	statusPort  = 4700
	backendPort = 4800
	adminPort   = 4900
	onRampPort  = 5000
)

// Third octets of the loopback addresses: the role.
const (
	platformOctet = 0
	balancerOctet = 1
	agentOctet    = 2
	serviceOctet  = 9
)

// Plan describes a system.
type Plan struct {
	// Dir is the folder of all files.
	Dir string
	// Octet is the second octet of every address, from 1 to 254.
	Octet uint8
	// Balancers is the number of balancers.
	Balancers int
	// Zones is the number of availability zones over which the processes are spread.
	Zones int
	// Services describes the services, with their backend servers.
	Services []Service
	// Placement is the placement policy of all agents.
	Placement string
	// LogLevel is the log level of all processes.
	LogLevel string
	// Epochs lists the key epochs from 0 to 1 whose keys all processes have. If it is empty,
	// they have only the key of epoch 0.
	Epochs []uint8
	// SealEpoch is the epoch of the key that seals connection IDs.
	SealEpoch uint8
}

// Service describes a service.
type Service struct {
	// Name is the name of the service.
	Name string
	// Owner is the team that owns the service.
	Owner string
	// Endpoints is the number of backend servers, each with an agent.
	Endpoints int
	// Slots is the number of requests that each backend server runs concurrently.
	Slots int
	// Kinds are the kinds of requests that the service accepts.
	Kinds []request.Kind
	// Limits are the limits in the section of the service.
	Limits section.Limits
}

// Endpoint identifies one agent with its backend server.
type Endpoint struct {
	// VM is the name of the VM.
	VM string
	// Service is the service.
	Service Service
	// Number is the number of the endpoint among those of all services, from 1.
	Number int
}

// Platform returns the address of the configuration service.
func (p Plan) Platform() netip.AddrPort { return p.loopback(platformOctet, 1, adminPort) }

// Fabric returns the address of the fabric that faces the balancers.
func (p Plan) Fabric() netip.AddrPort { return p.loopback(platformOctet, 2, frontPort) }

// FabricAdmin returns the HTTP address at which faults of the fabric are set.
func (p Plan) FabricAdmin() netip.AddrPort { return p.loopback(platformOctet, 2, adminPort) }

// Front returns the address of a balancer that faces the fabric. Balancers are numbered
// from 1.
func (p Plan) Front(balancer int) netip.AddrPort {
	return p.loopback(balancerOctet, balancer, frontPort)
}

// Fronts returns the addresses of all balancers that face the fabric.
func (p Plan) Fronts() []netip.AddrPort {
	return lo.Times(p.Balancers, func(i int) netip.AddrPort { return p.Front(i + 1) })
}

// BalancerStatus returns the address of a balancer's status page.
func (p Plan) BalancerStatus(balancer int) netip.AddrPort {
	return p.loopback(balancerOctet, balancer, statusPort)
}

// AgentStatus returns the address of an agent's status page.
func (p Plan) AgentStatus(e Endpoint) netip.AddrPort {
	return p.loopback(agentOctet, e.Number, statusPort)
}

// Relay returns the address of an agent that its section and its VM entry state.
func (p Plan) Relay(e Endpoint) netip.AddrPort { return p.loopback(agentOctet, e.Number, peerPort) }

// Backend returns the address of a backend server.
func (p Plan) Backend(e Endpoint) netip.AddrPort {
	return p.loopback(agentOctet, e.Number, backendPort)
}

// BackendAdmin returns the HTTP address of a backend server for health, statistics and test
// settings.
func (p Plan) BackendAdmin(e Endpoint) netip.AddrPort {
	return p.loopback(agentOctet, e.Number, adminPort)
}

// Address returns the address of a service.
func (p Plan) Address(service string) netip.AddrPort {
	_, i, _ := lo.FindIndexOf(p.Services, func(s Service) bool { return s.Name == service })
	return p.loopback(serviceOctet, i+1, servicePort)
}

// Addresses returns the addresses of all services.
func (p Plan) Addresses() []netip.AddrPort {
	return lo.Map(p.Services, func(s Service, _ int) netip.AddrPort { return p.Address(s.Name) })
}

// Endpoints returns the endpoints of all services.
func (p Plan) Endpoints() []Endpoint {
	var list []Endpoint
	for _, s := range p.Services {
		for i := range s.Endpoints {
			list = append(list, Endpoint{VM: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s, Number: len(list) + 1})
		}
	}
	return list
}

// Endpoint returns the endpoint on the named VM, or a zero one if there is none.
func (p Plan) Endpoint(name string) Endpoint {
	e, _ := lo.Find(p.Endpoints(), func(e Endpoint) bool { return e.VM == name })
	return e
}

// Section returns the section of a service.
func (p Plan) Section(s Service, revision uint64) section.Section {
	x := section.Section{
		Service:   s.Name,
		Owner:     s.Owner,
		Revision:  revision,
		Addresses: []netip.AddrPort{p.Address(s.Name)},
		Kinds:     s.Kinds,
		Limits:    s.Limits,
	}
	for _, e := range p.Endpoints() {
		if e.Service.Name == s.Name {
			x.Endpoints = append(x.Endpoints, section.Endpoint{
				VM: e.VM, Agent: p.Relay(e), Zone: p.zone(e.Number), Slots: s.Slots, Connections: 2000, Weight: 1,
			})
		}
	}
	return x
}

// Entries returns the entries of all sections and all VMs, at revision 1.
func (p Plan) Entries() []entry.Entry {
	var list []entry.Entry
	for _, s := range p.Services {
		list = append(list, SectionEntry(p.Section(s, 1)))
	}
	for i := range p.Balancers {
		list = append(list, p.BalancerVM(i+1, 1, vm.Live))
	}
	for _, e := range p.Endpoints() {
		list = append(list, p.AgentVM(e, 1, vm.Live))
	}
	return list
}

// SectionEntry returns the entry under which the platform publishes a section.
func SectionEntry(s section.Section) entry.Entry {
	return entry.Entry{Key: entry.SectionPrefix + s.Service, Revision: s.Revision, Raw: mustJSON(s)}
}

// BalancerVM returns the entry for the VM of a balancer.
func (p Plan) BalancerVM(balancer int, revision uint64, state vm.State) entry.Entry {
	return vmEntry(vm.VM{Name: fmt.Sprintf("balancer-%d", balancer), Revision: revision, Role: vm.Balancer,
		Address: p.loopback(balancerOctet, balancer, peerPort), Zone: p.zone(balancer), State: state})
}

// AgentVM returns the entry for the VM of an agent.
func (p Plan) AgentVM(e Endpoint, revision uint64, state vm.State) entry.Entry {
	return vmEntry(vm.VM{Name: e.VM, Revision: revision, Role: vm.Agent,
		Address: p.Relay(e), Zone: p.zone(e.Number), State: state})
}

func vmEntry(v vm.VM) entry.Entry {
	return entry.Entry{Key: entry.VMPrefix + v.Name, Revision: v.Revision, Raw: mustJSON(v)}
}

// BalancerSettings returns the settings of a balancer.
func (p Plan) BalancerSettings(balancer int) settings.Balancer {
	return settings.Balancer{
		Common:         p.commonSettings(fmt.Sprintf("balancer-%d", balancer), balancer, p.BalancerStatus(balancer)),
		Front:          p.Front(balancer),
		Fabric:         p.Fabric(),
		Back:           p.loopback(balancerOctet, balancer, peerPort),
		AgentNetworks:  []netip.Prefix{p.network()},
		HashSecretFile: p.path("hash.key"),
	}
}

// AgentSettings returns the settings of an agent.
func (p Plan) AgentSettings(e Endpoint) settings.Agent {
	return settings.Agent{
		Common:          p.commonSettings(e.VM, e.Number, p.AgentStatus(e)),
		Service:         e.Service.Name,
		Relay:           p.Relay(e),
		Backend:         p.Backend(e),
		Health:          "http://" + p.BackendAdmin(e).String() + "/health",
		ResetKeyFile:    p.path("reset.key"),
		CertificateFile: p.path(e.Service.Name + ".pem"),
		KeyFile:         p.path(e.Service.Name + ".key"),
		Placement:       p.Placement,
	}
}

func (p Plan) commonSettings(name string, number int, status netip.AddrPort) settings.Common {
	seeds := lo.Times(min(p.Balancers, 3), func(i int) netip.AddrPort { return p.loopback(balancerOctet, i+1, peerPort) })
	return settings.Common{
		Name:         name,
		Zone:         p.zone(number),
		Status:       status,
		Platform:     "http://" + p.Platform().String(),
		Seeds:        seeds,
		PeerNetworks: []netip.Prefix{p.network()},
		Keys:         p.keys(),
		SealEpoch:    p.SealEpoch,
		Log:          settings.Log{Level: p.LogLevel},
	}
}

func (p Plan) keys() []settings.Key {
	epochs := p.Epochs
	if len(epochs) == 0 {
		epochs = []uint8{0}
	}
	return lo.Map(epochs, func(e uint8, _ int) settings.Key {
		return settings.Key{Epoch: e, File: p.path(fmt.Sprintf("connid-%d.key", e))}
	})
}

// OnRampListen returns the address at which the on-ramp of a service listens.
func (p Plan) OnRampListen(service string) netip.AddrPort {
	return netip.AddrPortFrom(p.Address(service).Addr(), onRampPort)
}

// OnRampSettings returns the settings of an on-ramp.
func (p Plan) OnRampSettings(service string, kind request.Kind) settings.OnRamp {
	return settings.OnRamp{
		Listen:        p.OnRampListen(service),
		Address:       p.Address(service),
		Service:       service,
		Kind:          string(kind),
		AuthorityFile: p.AuthorityFile(),
		Log:           settings.Log{Level: p.LogLevel},
	}
}

func (p Plan) loopback(third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.Octet, byte(third), byte(fourth)}), port)
}

func (p Plan) network() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, p.Octet, 0, 0}), 16)
}

func (p Plan) zone(number int) string {
	return fmt.Sprintf("zone-%d", number%max(p.Zones, 1)+1)
}

func (p Plan) path(name string) string {
	return filepath.Join(p.Dir, name)
}

func mustJSON(value any) []byte {
	b, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic(err)
	}
	return b
}
