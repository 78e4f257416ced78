package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zone is the availability zone of the clients and the endpoints, farZone another one.
const (
	zone    = "zone-a"
	farZone = "zone-b"
)

// Bounds of the deployment, as in the settings of a small site.
const (
	contact     = 4000 * time.Millisecond
	drainBound  = 3000 * time.Millisecond
	applyBound  = 3000 * time.Millisecond
	graceTime   = 6 * time.Second
	maxFlow     = 60 * time.Second
	restartTime = 300 * time.Millisecond
	// darkTime is how long machines that lose power are down.
	darkTime = 3500 * time.Millisecond
)

// ports holds the ports of the deployment, which are the same on all machines.
type ports struct{ packets, ready, control, metrics, relay, outbound, app, store uint16 }

// lab is a small deployment: the project's processes, and stand-ins for all others.
type lab struct {
	program, dir string
	net          byte
	ports        ports
	store        *store
	router       *router
	done         chan struct{}
	started      time.Time

	mu  sync.Mutex
	out *os.File
	// ended is true once the result of the case has been recorded.
	ended     bool
	breaches  map[string]int
	endpoints []*endpoint
	// routes holds the services to which a config has ever allowed an address to go.
	routes    map[netip.AddrPort]map[string]bool
	version   int
	processes map[string]*process
	requests  struct{ sent, answered, ran int }
	runs      map[string]int
	// openings is called for each opening packet that an endpoint takes. The endpoint is locked.
	openings func(e *endpoint, key flowKey)
}

// unable ends the case because it cannot run.
type unable struct{ err error }

func (l *lab) require(err error) {
	if err != nil {
		panic(unable{err})
	}
}

func newLab(program, recordFile string) *lab {
	out, err := os.Create(recordFile)
	if err != nil {
		panic(unable{err})
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(unable{err})
	}
	l := &lab{
		program: program, dir: dir, out: out, store: newStore(), done: make(chan struct{}), started: time.Now(),
		breaches: make(map[string]int), routes: make(map[netip.AddrPort]map[string]bool), processes: make(map[string]*process),
		runs: make(map[string]int),
	}
	l.router = newRouter(l)
	l.pickAddresses()
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.ip(4, 1), l.ports.store).String())
	l.require(err)
	go func() { _ = http.Serve(listener, l.store) }()
	return l
}

// pickAddresses chooses a free part of the loopback network and free ports.
func (l *lab) pickAddresses() {
	for range 50 {
		l.net = byte(40 + rand.IntN(200))
		base := uint16(20000 + 16*rand.IntN(700))
		l.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		free := true
		for p := base; p < base+8; p++ {
			t, err := net.Listen("tcp4", netip.AddrPortFrom(l.ip(0, 1), p).String())
			if err != nil {
				free = false
				break
			}
			_ = t.Close()
			u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.ip(0, 1), p)))
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return
		}
	}
	l.require(fmt.Errorf("no free ports"))
}

func (l *lab) ip(class, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, l.net, class, n}) }

// record writes a line to the record of the case.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	_, _ = fmt.Fprintf(l.out, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// breach records that a rule was broken.
func (l *lab) breach(rule, format string, args ...any) {
	l.mu.Lock()
	l.breaches[rule]++
	l.mu.Unlock()
	l.record("BREACH "+rule+": "+format, args...)
}

func (l *lab) sent(id string) {
	l.mu.Lock()
	l.requests.sent++
	l.mu.Unlock()
	l.record("sent %s", id)
}

func (l *lab) answered(id string, took time.Duration) {
	l.mu.Lock()
	l.requests.answered++
	l.mu.Unlock()
	l.record("answered %s after %d ms", id, took.Milliseconds())
}

func (l *lab) ran(e *endpoint, id string, key flowKey) {
	l.mu.Lock()
	l.requests.ran++
	l.runs[id]++
	l.mu.Unlock()
	l.record("run %s at %s on %s", id, e.id, key)
}

func (l *lab) onOpening(check func(e *endpoint, key flowKey)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openings = check
}

func (l *lab) opening(e *endpoint, key flowKey) {
	l.mu.Lock()
	check := l.openings
	l.mu.Unlock()
	if check != nil {
		check(e, key)
	}
}

func (l *lab) opened(e *endpoint, key flowKey) { l.record("flow %s open at endpoint %s", key, e.id) }

// allowed reports whether a config has ever allowed an address to go to a service.
func (l *lab) allowed(a netip.AddrPort, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routes[a][service]
}

// holder returns the living endpoint at which a flow is open, or nil.
func (l *lab) holder(key flowKey) *endpoint {
	l.mu.Lock()
	all := append([]*endpoint(nil), l.endpoints...)
	l.mu.Unlock()
	for _, e := range all {
		if e.holds(key) {
			return e
		}
	}
	return nil
}

// share is the weight of a service in a route.
type share struct {
	service string
	weight  float64
}

// publish writes the operator's config with a route for each service address.
func (l *lab) publish(routes map[netip.AddrPort][]share) {
	l.mu.Lock()
	l.version += 3
	version := l.version
	list := []any{}
	for a, shares := range routes {
		route := map[string]any{
			"name": "r-" + a.String(), "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "type": "idempotent",
			"timeout_ms": 2000, "target_latency_ms": 100, "priority": 1, "max_attempts": 2,
		}
		var split []map[string]any
		for _, s := range shares {
			if l.routes[a] == nil {
				l.routes[a] = make(map[string]bool)
			}
			l.routes[a][s.service] = true
			split = append(split, map[string]any{"service": s.service, "weight": s.weight})
		}
		if len(shares) == 1 {
			route["service"] = shares[0].service
		} else {
			route["split"] = split
		}
		list = append(list, route)
	}
	l.mu.Unlock()
	l.store.put("op/config", map[string]any{
		"version": version, "routes": list, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
	l.record("the store has acknowledged config version %d: %v", version, routes)
}

// process is one of the project's programs.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// common returns the settings that both roles share.
func (l *lab) common(name, zone string, ip netip.Addr) map[string]any {
	return map[string]any{
		"name": name, "metrics": netip.AddrPortFrom(ip, l.ports.metrics).String(), "zone": zone,
		"ready": netip.AddrPortFrom(ip, l.ports.ready).String(), "maxFlowSeconds": maxFlow.Seconds(), "graceSeconds": graceTime.Seconds(),
		"contactMillis": contact.Milliseconds(), "drainMillis": drainBound.Milliseconds(), "applyMillis": applyBound.Milliseconds(), "addressReuseSeconds": 2,
	}
}

// startBalancer starts a balancer process with the settings of the deploy file.
func (l *lab) startBalancer(n byte, zone string, seeds []netip.AddrPort) {
	ip := l.ip(1, n)
	name := fmt.Sprintf("front-%d", n)
	s := l.common(name, zone, ip)
	s["front"] = netip.AddrPortFrom(ip, l.ports.packets).String()
	s["back"] = netip.AddrPortFrom(ip, l.ports.metrics).String()
	s["peer"] = netip.AddrPortFrom(ip, l.ports.control).String()
	s["agentPort"] = l.ports.relay
	s["seeds"] = seeds
	s["platform"] = netip.AddrPortFrom(l.ip(4, 1), l.ports.store).String()
	l.start(name, "balancer", s)
}

// startAgent starts the agent process beside an endpoint.
func (l *lab) startAgent(n byte, service string, seeds []netip.AddrPort) {
	ip := l.ip(2, n)
	name := sideName(n)
	s := l.common(name, zone, ip)
	s["service"] = service
	s["relay"] = netip.AddrPortFrom(ip, l.ports.relay).String()
	s["outbound"] = netip.AddrPortFrom(ip, l.ports.outbound).String()
	s["server"] = netip.AddrPortFrom(ip, l.ports.app).String()
	s["requestIdHeader"] = requestIDHeader
	s["callers"] = netip.AddrPortFrom(ip, l.ports.packets).String()
	s["seeds"] = seeds
	l.start(name, "agent", s)
}

func sideName(n byte) string { return fmt.Sprintf("side-%d", n) }

func (l *lab) start(name, role string, settings map[string]any) {
	path := filepath.Join(l.dir, name+".json")
	raw, err := json.Marshal(settings)
	l.require(err)
	l.require(os.WriteFile(path, raw, 0o600))
	log, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	l.require(err)
	cmd := exec.Command(l.program, role, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	l.require(cmd.Start())
	_ = log.Close()
	p := &process{cmd: cmd, done: make(chan struct{})}
	l.mu.Lock()
	l.processes[name] = p
	l.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	l.record("process %s started", name)
}

// stop sends SIGTERM to a process, and SIGKILL after the grace time.
func (l *lab) stop(name string) {
	l.mu.Lock()
	p := l.processes[name]
	l.mu.Unlock()
	l.record("process %s: SIGTERM", name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(graceTime):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	l.record("process %s ended", name)
}

// kill ends a process as a loss of power does.
func (l *lab) kill(name string) {
	l.mu.Lock()
	p := l.processes[name]
	l.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.done
	l.record("process %s killed", name)
}

// close ends all processes that the lab started.
func (l *lab) close() {
	l.mu.Lock()
	all := maps.Clone(l.processes)
	l.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	close(l.done)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		l.record("logs in %s", l.dir)
	}
}

// addEndpoint starts the agent and the endpoint of a machine, as the platform does.
func (l *lab) addEndpoint(n byte, id, service string, seeds []netip.AddrPort) *endpoint {
	l.startAgent(n, service, seeds)
	time.Sleep(100 * time.Millisecond)
	e := startEndpoint(l, id, service, l.ip(2, n))
	e.agent, e.machine = sideName(n), n
	l.mu.Lock()
	l.endpoints = append(l.endpoints, e)
	l.mu.Unlock()
	return e
}

// removeEndpoint ends an endpoint, and then the agent on its machine, as the platform does.
func (l *lab) removeEndpoint(e *endpoint) {
	e.stop()
	l.stop(e.agent)
}

// waitReady waits until the given number of balancers is in rotation.
func (l *lab) waitReady(n int) {
	for range 100 {
		if l.router.ready() >= n {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.require(fmt.Errorf("%d of %d balancers are ready", l.router.ready(), n))
}
