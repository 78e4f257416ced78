// Package settings reads and checks the settings files of the processes.
package settings

import "net/netip"

// Common are the settings that every process has.
type Common struct {
	// Name is the name of the VM in the platform's list.
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Status is the TCP address of the status page and metrics.
	Status netip.AddrPort `json:"status"`
	// Platform is the base URL of the configuration service.
	Platform string `json:"platform"`
	// Seeds are peer addresses to ask at start, before the VM list is known.
	Seeds []netip.AddrPort `json:"seeds"`
	// PeerNetworks are the networks that balancers and agents are in; never empty.
	PeerNetworks []netip.Prefix `json:"peerNetworks"`
	// Keys open and seal connection IDs; epochs are unique.
	Keys []Key `json:"connectionIdKeys"`
	// SealEpoch is the epoch of the key that seals.
	SealEpoch uint8 `json:"sealEpoch"`
	// Log selects level and form of the log.
	Log Log `json:"log"`
}

// Key names the file of one connection ID key.
type Key struct {
	// Epoch is from 0 to 3.
	Epoch uint8 `json:"epoch"`
	// File holds 32 hexadecimal digits.
	File string `json:"file"`
}

// Log selects level and form of the log.
type Log struct {
	// Level is debug, info, warn or error; empty selects info.
	Level string `json:"level,omitempty"`
	// Format is json or console; empty selects json.
	Format string `json:"format,omitempty"`
}

// Balancer are the settings of a balancer.
type Balancer struct {
	Common
	// Front is the UDP address that takes datagrams from the fabric.
	Front netip.AddrPort `json:"front"`
	// Fabric is the UDP address that takes answers to callers.
	Fabric netip.AddrPort `json:"fabric"`
	// Back is the address towards agents (UDP) and peers (TCP).
	Back netip.AddrPort `json:"back"`
	// AgentNetworks are the networks that agents may be in; never empty.
	AgentNetworks []netip.Prefix `json:"agentNetworks"`
	// HashSecretFile holds 32 hexadecimal digits, the same on every balancer.
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
	// Health is the URL of the backend server's health and load endpoint; empty if it has none.
	Health string `json:"health,omitempty"`
	// ResetKeyFile holds 64 hexadecimal digits that survive restarts.
	ResetKeyFile string `json:"resetKeyFile"`
	// CertificateFile holds the PEM certificate chain.
	CertificateFile string `json:"certificateFile"`
	// KeyFile holds the PEM private key.
	KeyFile string `json:"keyFile"`
	// Placement selects a placement policy; empty selects balanced.
	Placement string `json:"placement,omitempty"`
}

// OnRamp are the settings of the TCP on-ramp.
type OnRamp struct {
	// Listen is the TCP address that takes connections.
	Listen netip.AddrPort `json:"listen"`
	// Address is the service address.
	Address netip.AddrPort `json:"address"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Kind is the kind of every stream: session, once or repeatable.
	Kind string `json:"kind"`
	// AuthorityFile holds the PEM certificates that agents are checked against.
	AuthorityFile string `json:"authorityFile"`
	// Log selects level and form of the log.
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
