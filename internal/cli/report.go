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

// reportTimeout bounds the wait for one process.
const reportTimeout = 3 * time.Second

type reportCommand struct {
	Processes []string `arg:"" help:"Status addresses of processes, as IP:PORT."`
	JSON      bool     `name:"json" help:"Print the reports as a JSON array."`
}

// Run prints what is in force where. Processes that do not answer, sections
// that differ and refused revisions make it fail.
func (c *reportCommand) Run(stdout io.Writer) error {
	reports, silent := fetchReports(c.Processes)
	var err error
	if c.JSON {
		err = json.NewEncoder(stdout).Encode(reports)
	} else {
		err = writeSummary(stdout, reports)
	}
	if err != nil {
		return err
	}
	if trouble := append(silent, findTrouble(reports)...); len(trouble) > 0 {
		return merry.New(strings.Join(trouble, "\n"))
	}
	return nil
}

func fetchReports(addresses []string) (reports []status.Report, silent []string) {
	client := &http.Client{Timeout: reportTimeout}
	for _, a := range addresses {
		r, err := fetchReport(client, a)
		if err != nil {
			silent = append(silent, fmt.Sprintf("%s: %v", a, err))
			continue
		}
		reports = append(reports, r)
	}
	return reports, silent
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
	for _, s := range inForce(reports) {
		p("%s\t%s\t%d\t%s\t%d of %d\t%s", s.Service, s.Owner, s.Revision, s.Hash, s.count, len(reports), s.Since.Format(time.RFC3339))
	}
	for _, x := range refusals(reports) {
		p("\n%s", x)
	}
	return t.Flush()
}

// counted is a section text with the number of processes at which it is in force.
type counted struct {
	status.Section
	count int
}

// inForce returns every text in force, by service and revision, with the
// latest time of acceptance.
func inForce(reports []status.Report) []counted {
	byText := make(map[string]counted)
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
	return lo.Map(keys, func(k string, _ int) counted { return byText[k] })
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
			list = append(list, fmt.Sprintf("overlap: %s is claimed by %s and %s; %s has it", o.Address, o.Used, o.Ignored, o.Used))
		}
	}
	return lo.Uniq(list)
}

func findTrouble(reports []status.Report) []string {
	trouble := refusals(reports)
	texts := lo.CountValuesBy(inForce(reports), func(c counted) string { return c.Service })
	for service, n := range texts {
		if n > 1 {
			trouble = append(trouble, fmt.Sprintf("section %s: %d texts are in force", service, n))
		}
	}
	slices.Sort(trouble)
	return trouble
}
