package status

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// Report is the state of a process, for operators.
type Report struct {
	// Name is the name of the VM.
	Name string `json:"name"`
	// Role is balancer or agent.
	Role string `json:"role"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is up, draining or down.
	State string `json:"state"`
	// Started is the time at which the process started.
	Started time.Time `json:"started"`
	// Sections are the sections in force, sorted by name.
	Sections []Section `json:"sections"`
	// Refused are the refused revisions that supersede those in force, sorted by key.
	Refused []Refused `json:"refused,omitempty"`
	// Overlaps are the service addresses that more than one section claims.
	Overlaps []Overlap `json:"overlaps,omitempty"`
	// Members is the state of the fleet as this process has received it.
	Members Members `json:"members"`
	// Counters are named totals since the start.
	Counters []Counter `json:"counters"`
}

// Section is a section of the configuration that is in force.
type Section struct {
	// Service is the name of the service, which is also that of the section.
	Service string `json:"service"`
	// Owner is the team that edits the section.
	Owner string `json:"owner"`
	// Revision is the revision in force.
	Revision uint64 `json:"revision"`
	// Hash is a hash of the text, in hexadecimal digits.
	Hash string `json:"hash"`
	// Since is the time at which this process accepted the revision.
	Since time.Time `json:"since"`
	// Endpoints is the number of backend servers.
	Endpoints int `json:"endpoints"`
}

// Refused is a revision that was refused; the former one stays in force.
type Refused struct {
	// Key is the key of the entry.
	Key string `json:"key"`
	// Revision is the refused revision.
	Revision uint64 `json:"revision"`
	// Since is the time at which this process refused the revision.
	Since time.Time `json:"since"`
	// Faults are the reasons of the refusal.
	Faults []fault.Fault `json:"faults"`
}

// Overlap is a service address that more than one section claims.
type Overlap struct {
	// Address is the service address.
	Address string `json:"address"`
	// Used is the service that gets the traffic of the address.
	Used string `json:"used"`
	// Ignored is the service whose claim is ignored.
	Ignored string `json:"ignored"`
}

// Members is the state of the fleet as a process has received it.
type Members struct {
	// Live, Leaving and Gone are the numbers of VMs in these states in the list of the platform.
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	Gone    int `json:"gone"`
	// Neighbours is the number of connected neighbours.
	Neighbours int `json:"neighbours"`
	// Reader is true if this process reads the platform.
	Reader bool `json:"reader"`
	// SentBytes and ReceivedBytes are the control traffic since the start, without TCP and IP
	// headers.
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
	// Conflicts counts offers with the revision in force but another text.
	Conflicts uint64 `json:"conflicts"`
	// Lowered counts offers with a revision lower than the one in force.
	Lowered uint64 `json:"lowered"`
}

// Counter is a named total.
type Counter struct {
	// Name identifies the counter.
	Name string `json:"name"`
	// Value is the total.
	Value uint64 `json:"value"`
}

// Write writes the report as human-readable text.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	p("%s %s in %s: %s, started %s", r.Role, r.Name, r.Zone, r.State, r.Started.Format(time.RFC3339))
	p("members: %d live, %d leaving, %d gone; %d neighbours; reader: %t", r.Members.Live, r.Members.Leaving, r.Members.Gone, r.Members.Neighbours, r.Members.Reader)
	p("control traffic: %d bytes sent, %d received; conflicts: %d; lowered revisions ignored: %d", r.Members.SentBytes, r.Members.ReceivedBytes, r.Members.Conflicts, r.Members.Lowered)
	p("\nSERVICE\tOWNER\tREVISION\tHASH\tIN FORCE SINCE\tENDPOINTS")
	for _, s := range r.Sections {
		p("%s\t%s\t%d\t%s\t%s\t%d", s.Service, s.Owner, s.Revision, s.Hash, s.Since.Format(time.RFC3339), s.Endpoints)
	}
	for _, x := range r.Refused {
		p("\nREFUSED %s revision %d since %s", x.Key, x.Revision, x.Since.Format(time.RFC3339))
		for _, f := range x.Faults {
			p("  %s", f)
		}
	}
	for _, o := range r.Overlaps {
		p("\nOVERLAP %s: claimed by %s and %s, used by %s", o.Address, o.Used, o.Ignored, o.Used)
	}
	p("\nCOUNTER\tTOTAL")
	for _, c := range r.Counters {
		p("%s\t%d", c.Name, c.Value)
	}
	return t.Flush()
}
