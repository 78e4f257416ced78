package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/status"
)

// reportTimeout limits the request to one process.
const reportTimeout = 3 * time.Second

type reportCommand struct {
	Processes []string `arg:"" help:"Status addresses of processes, as IP:PORT."`
	JSON      bool     `name:"json" help:"Print the reports as a JSON array."`
}

// Run prints which configuration is in force at which processes. It fails if a process does
// not answer, if the section of a service differs between processes, if a revision was
// refused, or if sections overlap.
func (c *reportCommand) Run(stdout io.Writer) error {
	reports, failures := fetchReports(c.Processes)
	var err error
	if c.JSON {
		err = json.NewEncoder(stdout).Encode(reports)
	} else {
		err = writeSummary(stdout, reports)
	}
	if err != nil {
		return err
	}
	if problems := append(failures, findProblems(reports)...); len(problems) > 0 {
		return merry.New(strings.Join(problems, "\n"))
	}
	return nil
}

func fetchReports(addresses []string) (reports []status.Report, failures []string) {
	client := &http.Client{Timeout: reportTimeout}
	for _, a := range addresses {
		r, err := fetchReport(client, a)
		if err != nil {
			failures = append(failures, fmt.Sprintf("%s: %v", a, err))
			continue
		}
		reports = append(reports, r)
	}
	return reports, failures
}

func fetchReport(client *http.Client, address string) (status.Report, error) {
	resp, err := client.Get("http://" + address + "/status")
	if err != nil {
		return status.Report{}, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r status.Report
	err = json.NewDecoder(resp.Body).Decode(&r)
	return r, merry.Wrap(err)
}

func writeSummary(w io.Writer, reports []status.Report) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	p("NAME\tROLE\tZONE\tSTATE\tNEIGHBOURS\tREADER\tREFUSED\tUP SINCE")
	for _, r := range reports {
		p("%s\t%s\t%s\t%s\t%d\t%t\t%d\t%s", r.Name, r.Role, r.Zone, r.State, r.Members.Neighbours, r.Members.Reader, len(r.Refused), r.Started.Format(time.RFC3339))
	}
	p("\nSERVICE\tOWNER\tREVISION\tHASH\tIN FORCE AT\tLAST SINCE")
	for _, s := range inForceSections(reports) {
		p("%s\t%s\t%d\t%s\t%d of %d\t%s", s.Service, s.Owner, s.Revision, s.Hash, s.count, len(reports), s.Since.Format(time.RFC3339))
	}
	for _, x := range refusals(reports) {
		p("\n%s", x)
	}
	return t.Flush()
}

// countedSection is the text of a section, with the number of processes at which it is in
// force.
type countedSection struct {
	status.Section
	count int
}

// inForceSections returns every section in force, sorted by service and revision, with the
// latest time of acceptance. Texts that differ under the same revision are listed separately.
func inForceSections(reports []status.Report) []countedSection {
	byText := make(map[string]countedSection)
	for _, r := range reports {
		for _, s := range r.Sections {
			key := fmt.Sprintf("%s %020d %s", s.Service, s.Revision, s.Hash)
			c, ok := byText[key]
			if !ok || s.Since.After(c.Since) {
				c.Section = s
			}
			c.count++
			byText[key] = c
		}
	}
	keys := slices.Sorted(slices.Values(lo.Keys(byText)))
	return lo.Map(keys, func(k string, _ int) countedSection { return byText[k] })
}

func refusals(reports []status.Report) []string {
	var list []string
	for _, r := range reports {
		for _, x := range r.Refused {
			for _, f := range x.Faults {
				list = append(list, fmt.Sprintf("refused: %s revision %d: %s", x.Key, x.Revision, f))
			}
		}
		for _, o := range r.Overlaps {
			list = append(list, fmt.Sprintf("overlap: %s is claimed by %s and %s, used by %s", o.Address, o.Used, o.Ignored, o.Used))
		}
	}
	return lo.Uniq(list)
}

func findProblems(reports []status.Report) []string {
	problems := refusals(reports)
	texts := lo.CountValuesBy(inForceSections(reports), func(c countedSection) string { return c.Service })
	for service, n := range texts {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("section %s: %d different texts are in force", service, n))
		}
	}
	slices.Sort(problems)
	return problems
}
