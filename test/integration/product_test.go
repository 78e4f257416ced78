package integration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/cli"
	"github.com/bergamotgw/bergamotgw/internal/health"
	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
	"github.com/bergamotgw/bergamotgw/pkg/caller"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// rotate changes the connection ID keys of all running processes, which reload their
// settings: rotate epochs=(n,...) seal=n.
func (s *system) rotate(d *datadriven.TestData) string {
	s.plan.Epochs = nil
	for _, a := range d.CmdArgs {
		if a.Key != "epochs" {
			continue
		}
		for _, text := range a.Vals {
			var e uint8
			if _, err := fmt.Sscan(text, &e); err != nil {
				s.t.Fatal(err)
			}
			s.plan.Epochs = append(s.plan.Epochs, e)
		}
	}
	seal := 0
	d.ScanArgs(s.t, "seal", &seal)
	s.plan.SealEpoch = uint8(seal)
	if err := s.plan.WriteSettings(); err != nil {
		s.t.Fatal(err)
	}
	for name := range s.statusAddresses() {
		if err := s.processes[name].command.Process.Signal(syscall.SIGHUP); err != nil {
			s.t.Fatal(err)
		}
	}
	return "ok"
}

// onRamp starts the on-ramp of a service: on-ramp SERVICE.
func (s *system) onRamp(d *datadriven.TestData) string {
	service := d.CmdArgs[0].Key
	s.spawn("connect-"+service, "bergamotgw", "connect", "--settings", filepath.Join(s.plan.Dir, "connect-"+service+".json"))
	return "ok"
}

// tcp sends requests over TCP to the on-ramp of a service and counts the complete answers:
// tcp SERVICE count=N.
func (s *system) tcp(d *datadriven.TestData) string {
	service, count := d.CmdArgs[0].Key, 0
	d.ScanArgs(s.t, "count", &count)
	whole, cut := 0, 0
	for i := range count {
		r := wire.Request{ID: fmt.Sprintf("tcp-%s-%d", service, i), Service: service, WorkMicros: 1000, Body: 700, Answer: 20_000}
		b, err := sendOverTCP(s.plan.OnRampListen(service).String(), r.Encode())
		switch {
		case err == nil && r.AnsweredBy(b):
			whole++
		default:
			cut++
		}
	}
	return fmt.Sprintf("%d whole, %d cut", whole, cut)
}

func sendOverTCP(address string, request []byte) ([]byte, error) {
	var c net.Conn
	err := io.EOF
	for deadline := time.Now().Add(startTimeout); err != nil && time.Now().Before(deadline); {
		if c, err = net.Dial("tcp4", address); err != nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(startTimeout))
	if _, err := c.Write(request); err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, err
	}
	return io.ReadAll(c)
}

// cancel starts a request with a minute of work, cancels it, waits until no backend server
// works on it, and prints the verdict that the caller receives: cancel SERVICE.
func (s *system) cancel(d *datadriven.TestData) string {
	service := s.plannedService(d.CmdArgs[0].Key)
	c := s.newCaller(service.Name)
	defer func() { _ = c.Close() }()
	r := wire.Request{ID: "cancelled", Service: service.Name, WorkMicros: 60_000_000, Body: 10, Answer: 10}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, caller.Request{Kind: request.Once, Key: r.ID, Body: r.Encode()})
		ended <- err
	}()
	s.eventually("the request runs", func() bool { return s.inFlight(service.Name) == 1 })
	cancel()
	s.eventually("the backend server has cancelled the request", func() bool { return s.inFlight(service.Name) == 0 })
	var failure *caller.Error
	if err := <-ended; !errors.As(err, &failure) {
		return fmt.Sprintf("ended with %v", err)
	}
	return failure.Verdict.String()
}

// newCaller returns a caller of a service.
func (s *system) newCaller(service string) *caller.Caller {
	tls, err := s.plan.CallerTLS()
	if err != nil {
		s.t.Fatal(err)
	}
	c, err := caller.NewCaller(s.plan.Address(service), service, caller.WithTLS(tls))
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// inFlight returns the number of requests that the backend servers of a service run.
func (s *system) inFlight(service string) int {
	sum := 0
	for _, e := range s.plan.Endpoints() {
		if e.Service.Name != service {
			continue
		}
		r, err := get[health.Report](s.plan.BackendAdmin(e).String(), "/health")
		if err != nil {
			s.t.Fatal(err)
		}
		sum += r.InFlight
	}
	return sum
}

// report runs the report command on all processes and prints its exit code and the problems
// that it writes to standard error.
func (s *system) report(*datadriven.TestData) string {
	args := []string{"report"}
	for _, address := range s.statusAddresses() {
		args = append(args, address)
	}
	var stdout, stderr bytes.Buffer
	code := cli.Main(args, &stdout, &stderr)
	s.t.Logf("report:\n%s", stdout.String())
	return fmt.Sprintf("exit code %d\n%s", code, strings.ReplaceAll(stderr.String(), s.plan.Dir, "DIR"))
}
