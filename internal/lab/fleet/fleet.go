// Package fleet lays out a whole system on loopback addresses: settings, keys,
// certificates and the document, for the demo, experiments and tests.
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

// Ports that processes use on their own addresses.
const (
	servicePort = 4433
	frontPort   = 4500
	peerPort    = 4600
	statusPort  = 4700
	backendPort = 4800
	adminPort   = 4900
	onRampPort  = 5000
)

// Third octets of the loopback addresses.
const (
	platformOctet = 0
	balancerOctet = 1
	agentOctet    = 2
	serviceOctet  = 9
)

// Plan describes a system.
type Plan struct {
	// Dir holds all files.
	Dir string
	// Octet is the second octet of every address, from 1 to 254.
	Octet uint8
	// Balancers is how many balancers there are.
	Balancers int
	// Zones is how many availability zones the processes are spread over.
	Zones int
	// Services are the services.
	Services []Service
	// Placement is the placement policy of all agents.
	Placement string
	// LogLevel is the level of all logs.
	LogLevel string
	// Epochs are the key epochs that all processes know, from 0 to 1; epoch 0
	// alone without.
	Epochs []uint8
	// SealEpoch is the epoch whose key seals.
	SealEpoch uint8
}

// Service describes a service.
type Service struct {
	// Name is the name of the service.
	Name string
	// Owner is the team that owns it.
	Owner string
	// Endpoints is how many backend servers there are.
	Endpoints int
	// Slots is how many requests each runs at once.
	Slots int
	// Kinds are the kinds of requests that it takes.
	Kinds []request.Kind
	// Limits are the limits of its section.
	Limits section.Limits
}

// Endpoint names one agent with its backend server.
type Endpoint struct {
	// VM is the name of the VM.
	VM string
	// Service is the service.
	Service Service
	// Number counts endpoints of all services, from 1.
	Number int
}

// Platform returns the address of the configuration service.
func (p Plan) Platform() netip.AddrPort { return p.at(platformOctet, 1, adminPort) }

// Fabric returns the address of the fabric towards balancers.
func (p Plan) Fabric() netip.AddrPort { return p.at(platformOctet, 2, frontPort) }

// FabricAdmin returns the address of the fabric's control.
func (p Plan) FabricAdmin() netip.AddrPort { return p.at(platformOctet, 2, adminPort) }

// Front returns the address of a balancer towards the fabric. Balancers count from 1.
func (p Plan) Front(balancer int) netip.AddrPort { return p.at(balancerOctet, balancer, frontPort) }

// Fronts returns the addresses of all balancers towards the fabric.
func (p Plan) Fronts() []netip.AddrPort {
	return lo.Times(p.Balancers, func(i int) netip.AddrPort { return p.Front(i + 1) })
}

// BalancerStatus returns the address of a balancer's status page.
func (p Plan) BalancerStatus(balancer int) netip.AddrPort {
	return p.at(balancerOctet, balancer, statusPort)
}

// AgentStatus returns the address of an agent's status page.
func (p Plan) AgentStatus(e Endpoint) netip.AddrPort { return p.at(agentOctet, e.Number, statusPort) }

// Relay returns the address of an agent.
func (p Plan) Relay(e Endpoint) netip.AddrPort { return p.at(agentOctet, e.Number, peerPort) }

// Backend returns the address of a backend server.
func (p Plan) Backend(e Endpoint) netip.AddrPort { return p.at(agentOctet, e.Number, backendPort) }

// BackendAdmin returns the address of a backend server's control.
func (p Plan) BackendAdmin(e Endpoint) netip.AddrPort { return p.at(agentOctet, e.Number, adminPort) }

// Address returns the address of a service.
func (p Plan) Address(service string) netip.AddrPort {
	_, i, _ := lo.FindIndexOf(p.Services, func(s Service) bool { return s.Name == service })
	return p.at(serviceOctet, i+1, servicePort)
}

// Addresses returns the addresses of all services.
func (p Plan) Addresses() []netip.AddrPort {
	return lo.Map(p.Services, func(s Service, _ int) netip.AddrPort { return p.Address(s.Name) })
}

// Endpoints returns every endpoint.
func (p Plan) Endpoints() []Endpoint {
	var list []Endpoint
	for _, s := range p.Services {
		for i := range s.Endpoints {
			list = append(list, Endpoint{VM: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s, Number: len(list) + 1})
		}
	}
	return list
}

// Endpoint returns the endpoint on a VM.
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

// Entries returns the whole document and VM list, at revision 1.
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

// SectionEntry returns the published form of a section.
func SectionEntry(s section.Section) entry.Entry {
	return entry.Entry{Key: entry.SectionPrefix + s.Service, Revision: s.Revision, Raw: mustJSON(s)}
}

// BalancerVM returns the platform's entry for a balancer.
func (p Plan) BalancerVM(balancer int, revision uint64, state vm.State) entry.Entry {
	return vmEntry(vm.VM{Name: fmt.Sprintf("balancer-%d", balancer), Revision: revision, Role: vm.Balancer,
		Address: p.at(balancerOctet, balancer, peerPort), Zone: p.zone(balancer), State: state})
}

// AgentVM returns the platform's entry for an agent.
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
		Common:         p.common(fmt.Sprintf("balancer-%d", balancer), balancer, p.BalancerStatus(balancer)),
		Front:          p.Front(balancer),
		Fabric:         p.Fabric(),
		Back:           p.at(balancerOctet, balancer, peerPort),
		AgentNetworks:  []netip.Prefix{p.network()},
		HashSecretFile: p.file("hash.key"),
	}
}

// AgentSettings returns the settings of an agent.
func (p Plan) AgentSettings(e Endpoint) settings.Agent {
	return settings.Agent{
		Common:          p.common(e.VM, e.Number, p.AgentStatus(e)),
		Service:         e.Service.Name,
		Relay:           p.Relay(e),
		Backend:         p.Backend(e),
		Health:          "http://" + p.BackendAdmin(e).String() + "/health",
		ResetKeyFile:    p.file("reset.key"),
		CertificateFile: p.file(e.Service.Name + ".pem"),
		KeyFile:         p.file(e.Service.Name + ".key"),
		Placement:       p.Placement,
	}
}

func (p Plan) common(name string, number int, status netip.AddrPort) settings.Common {
	seeds := lo.Times(min(p.Balancers, 3), func(i int) netip.AddrPort { return p.at(balancerOctet, i+1, peerPort) })
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
		return settings.Key{Epoch: e, File: p.file(fmt.Sprintf("connid-%d.key", e))}
	})
}

// OnRampListen returns the address of the on-ramp of a service.
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

func (p Plan) at(third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.Octet, byte(third), byte(fourth)}), port)
}

func (p Plan) network() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, p.Octet, 0, 0}), 16)
}

func (p Plan) zone(number int) string {
	return fmt.Sprintf("zone-%d", number%max(p.Zones, 1)+1)
}

func (p Plan) file(name string) string {
	return filepath.Join(p.Dir, name)
}

func mustJSON(value any) []byte {
	b, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic(err)
	}
	return b
}
