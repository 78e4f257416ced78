package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
	"github.com/bergamotgw/bergamotgw/internal/status"
	"github.com/bergamotgw/bergamotgw/pkg/caller"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// latency logs the latency of requests through the system and of the same requests over a
// direct TCP connection, sent by turns: latency SERVICE [count=N].
func (s *system) latency(d *datadriven.TestData) string {
	count := 500
	d.MaybeScanArgs(s.t, "count", &count)
	service := s.plannedService(d.CmdArgs[0].Key)
	c := s.newCaller(service.Name)
	defer func() { _ = c.Close() }()
	direct := backend.NewDialer(s.plan.Backend(s.plan.Endpoint(service.Name + "-1")))
	times := make(map[string][]time.Duration)
	for i := range count {
		r := wire.Request{ID: fmt.Sprintf("latency-%d", i), Service: service.Name, Body: 200, Answer: 1000}
		for name, run := range map[string]func() error{
			"direct": func() error { return s.direct(direct, r) },
			"repeatable": func() error {
				_, err := c.Do(context.Background(), caller.Request{Kind: request.Repeatable, Body: r.Encode(), Whole: wire.Whole})
				return err
			},
			"once": func() error {
				_, err := c.Do(context.Background(), caller.Request{Kind: request.Once, Key: r.ID, Body: r.Encode(), Whole: wire.Whole})
				return err
			},
		} {
			start := time.Now()
			if err := run(); err != nil {
				s.t.Fatalf("%s: %v", name, err)
			}
			times[name] = append(times[name], time.Since(start))
		}
	}
	for name, list := range times {
		slices.Sort(list)
		s.t.Logf("%s: p50 %v, p99 %v", name, list[len(list)/2], list[len(list)*99/100])
	}
	return "ok"
}

// direct sends a request directly to a backend server and reads the answer.
func (s *system) direct(d backend.Dialer, r wire.Request) error {
	any := netip.MustParseAddrPort("127.0.0.1:1")
	c, err := d.Connect(context.Background(), any, any, request.Preface{Service: r.Service, Kind: request.Repeatable})
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(r.Encode()); err != nil {
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	_, err = io.ReadAll(bufio.NewReader(c))
	return err
}

// control checks that the control traffic that each process sends and receives, together,
// stays below a limit: control seconds=N below=bytes-per-second.
func (s *system) control(d *datadriven.TestData) string {
	var seconds, below float64
	d.ScanArgs(s.t, "seconds", &seconds)
	d.ScanArgs(s.t, "below", &below)
	before := s.controlBytes()
	time.Sleep(milliseconds(seconds * 1000))
	highest, at := 0.0, ""
	for name, n := range s.controlBytes() {
		if rate := float64(n-before[name]) / seconds; rate > highest {
			highest, at = rate, name
		}
	}
	s.t.Logf("most control traffic: %.0f bytes/s at %s", highest, at)
	if highest >= below {
		return fmt.Sprintf("%.0f bytes/s at %s", highest, at)
	}
	return "ok"
}

func (s *system) controlBytes() map[string]uint64 {
	bytes := make(map[string]uint64)
	for name, address := range s.statusAddresses() {
		r, err := get[status.Report](address, "/status")
		if err != nil {
			s.t.Fatal(err)
		}
		bytes[name] = r.Members.SentBytes + r.Members.ReceivedBytes
	}
	return bytes
}
