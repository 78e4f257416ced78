package status

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// Report is what a process tells operators.
type Report struct {
	// Name is the name of the VM.
	Name string `json:"name"`
	// Role is balancer or agent.
	Role string `json:"role"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is up, draining or down.
	State string `json:"state"`
	// Started is when the process started.
	Started time.Time `json:"started"`
	// Sections are in force, by name.
	Sections []Section `json:"sections"`
	// Refused are newer revisions that were refused, by name.
	Refused []Refused `json:"refused,omitempty"`
	// Overlaps are service addresses that more than one section claims.
	Overlaps []Overlap `json:"overlaps,omitempty"`
	// Members is what is known of the fleet.
	Members Members `json:"members"`
	// Counters are the totals since the start, by name.
	Counters []Counter `json:"counters"`
}

// Section is one section in force.
type Section struct {
	// Service is the name of the section.
	Service string `json:"service"`
	// Owner is the team that edits it.
	Owner string `json:"owner"`
	// Revision is the one in force.
	Revision uint64 `json:"revision"`
	// Hash identifies the text.
	Hash string `json:"hash"`
	// Since is when it came in force here.
	Since time.Time `json:"since"`
	// Endpoints counts backend servers.
	Endpoints int `json:"endpoints"`
}

// Refused is a revision that was refused; the one before stays in force.
type Refused struct {
	// Key is the key of the entry.
	Key string `json:"key"`
	// Revision is the refused one.
	Revision uint64 `json:"revision"`
	// Since is when it was refused here.
	Since time.Time `json:"since"`
	// Faults tells why.
	Faults []fault.Fault `json:"faults"`
}

// Overlap is a service address that more than one section claims.
type Overlap struct {
	// Address is the service address.
	Address string `json:"address"`
	// Used is the service that gets the address.
	Used string `json:"used"`
	// Ignored is the service that does not.
	Ignored string `json:"ignored"`
}

// Members is what a process knows of the fleet.
type Members struct {
	// Live, Leaving and Gone count VMs in the platform's list.
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	Gone    int `json:"gone"`
	// Neighbours counts connected neighbours.
	Neighbours int `json:"neighbours"`
	// Reader is true if this process reads the platform.
	Reader bool `json:"reader"`
	// SentBytes and ReceivedBytes count control traffic since the start.
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
	// Conflicts counts offers of another text under a revision in force.
	Conflicts uint64 `json:"conflicts"`
	// Lowered counts offers below the revision in force.
	Lowered uint64 `json:"lowered"`
}

// Counter is a named total.
type Counter struct {
	// Name identifies the counter.
	Name string `json:"name"`
	// Value is the total.
	Value uint64 `json:"value"`
}

// Write writes the report as text for people.
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
