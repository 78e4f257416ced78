// Package settings reads and checks the settings files of balancers, agents and on-ramps.
package settings

import "net/netip"

// Common are the settings that balancers and agents have in common.
type Common struct {
	// Name is the name of the VM in the list of VMs of the platform.
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Status is the TCP address that serves the status page and metrics.
	Status netip.AddrPort `json:"status"`
	// Platform is the base URL of the configuration service.
	Platform string `json:"platform"`
	// Seeds are the addresses of peers to connect to at start, before the list of VMs has been
	// received.
	Seeds []netip.AddrPort `json:"seeds"`
	// PeerNetworks are the networks in which balancers and agents are; never empty.
	PeerNetworks []netip.Prefix `json:"peerNetworks"`
	// Keys open (decrypt) and seal (encrypt) connection IDs; their epochs are unique.
	Keys []Key `json:"connectionIdKeys"`
	// SealEpoch is the epoch of the key that seals connection IDs.
	SealEpoch uint8 `json:"sealEpoch"`
	// Log selects the level and the format of the log.
	Log Log `json:"log"`
}

// Key is one key for connection IDs.
type Key struct {
	// Epoch identifies the key, from 0 to 3.
	Epoch uint8 `json:"epoch"`
	// File is the path of a file of 32 hexadecimal digits.
	File string `json:"file"`
}

// Log selects the level and the format of the log.
type Log struct {
	// Level is debug, info, warn or error; empty selects info.
	Level string `json:"level,omitempty"`
	// Format is json or console; empty selects json.
	Format string `json:"format,omitempty"`
}

// Balancer are the settings of a balancer.
type Balancer struct {
	Common
	// Front is the UDP address that receives datagrams from the fabric.
	Front netip.AddrPort `json:"front"`
	// Fabric is the UDP address of the fabric, to which answers to callers are sent.
	Fabric netip.AddrPort `json:"fabric"`
	// Back is the address towards agents (UDP) and peers (TCP).
	Back netip.AddrPort `json:"back"`
	// AgentNetworks are the networks in which agents may be; never empty.
	AgentNetworks []netip.Prefix `json:"agentNetworks"`
	// HashSecretFile is the path of a file of 32 hexadecimal digits, the same on every balancer.
	HashSecretFile string `json:"hashSecretFile"`
}

// Agent are the settings of an agent.
type Agent struct {
	Common
	// Service is the name of the service of the backend server.
	Service string `json:"service"`
	// Relay is the address towards balancers (UDP) and peers (TCP).
	Relay netip.AddrPort `json:"relay"`
	// Backend is the TCP address of the backend server.
	Backend netip.AddrPort `json:"backend"`
	// Health is the URL of the health and load endpoint of the backend server; empty if it has
	// none.
	Health string `json:"health,omitempty"`
	// ResetKeyFile is the path of a file of 64 hexadecimal digits, which must not change over
	// restarts. They are the key of stateless resets.
	ResetKeyFile string `json:"resetKeyFile"`
	// CertificateFile is the path of the certificate chain, in PEM.
	CertificateFile string `json:"certificateFile"`
	// KeyFile is the path of the private key, in PEM.
	KeyFile string `json:"keyFile"`
	// Placement is the name of the placement policy; empty selects balanced.
	Placement string `json:"placement,omitempty"`
}

// OnRamp are the settings of the TCP on-ramp.
type OnRamp struct {
	// Listen is the TCP address that accepts connections of applications.
	Listen netip.AddrPort `json:"listen"`
	// Address is the service address.
	Address netip.AddrPort `json:"address"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Kind is the kind of every stream: session, once or repeatable.
	Kind string `json:"kind"`
	// AuthorityFile is the path of the certificates against which those of agents are
	// verified, in PEM.
	AuthorityFile string `json:"authorityFile"`
	// Log selects the level and the format of the log.
	Log Log `json:"log"`
}

// Logging returns the settings of the log.
func (c Common) Logging() Log {
	return c.Log
}

// Logging returns the settings of the log.
func (s OnRamp) Logging() Log {
	return s.Log
}
