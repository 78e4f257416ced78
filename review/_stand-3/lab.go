package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// ports are the ports of the deployment, the same on all VMs.
type ports struct {
	front, ready, control, first, second, app, outbound, store uint16
}

// Bounds of the deployment, as the site file aegeas-gw states them.
const (
	maxFlowSeconds = 60
	graceSeconds   = 6
	contactMillis  = 4000
	drainMillis    = 3000
	applyMillis    = 3000
	reuseSeconds   = 2
)

// lab is a small deployment: balancers and agents are processes of the project's program, and
// callers, servers, the router and the store are stand-ins in this process.
type lab struct {
	program string
	dir     string
	ports   ports
	store   *standin.Store
	started time.Time
	out     *os.File

	balancers []*process
	agents    []*process
	servers   []*server
	callers   []*caller

	mu       sync.Mutex
	problems []string
	ran      map[string]int
	resets   int
	// owners holds the server of each open flow, and ended the flows that their callers have closed.
	owners map[packet.Flow]*server
	ended  map[packet.Flow]bool
	// breaks is how many open flows were reset, and unanswered how many requests callers gave up.
	breaks, unanswered int
}

// process is a balancer or an agent.
type process struct {
	lab      *lab
	role     string
	ip       netip.Addr
	zone     string
	settings map[string]any

	mu    sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{}
	ready bool
	// stopping is true once a signal was sent that ends the process.
	stopping bool
}

// newLab returns a deployment without VMs. It chooses ports that are free on all its addresses.
func newLab(program string, out *os.File) (*lab, error) {
	dir, err := os.MkdirTemp("", "bergamotflow-case-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		program: program, dir: dir, store: standin.NewStore(), started: time.Now(), out: out,
		ran: make(map[string]int), owners: make(map[packet.Flow]*server), ended: make(map[packet.Flow]bool),
	}
	if l.ports, err = freePorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", l.storeAddress().String())
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: l.store, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	return l, nil
}

// freePorts chooses ports that are free on the addresses of a deployment.
func freePorts() (ports, error) {
	const (
		attempts = 50
		count    = 8
		// perGroup is more VMs of a kind than a case has.
		perGroup = 6
	)
	for range attempts {
		base := uint16(20000 + rand.IntN(1000)*count)
		free := true
		for _, group := range []int{storeGroup, balancerGroup, serverGroup, callerGroup} {
			for n := range perGroup {
				for offset := range uint16(count) {
					free = free && isFree(netip.AddrPortFrom(loopback(group, n+1), base+offset))
				}
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// isFree reports whether a port can be bound with TCP and UDP.
func isFree(a netip.AddrPort) bool {
	l, err := net.Listen("tcp4", a.String())
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

// Groups of loopback addresses, 127.GROUP.0.N.
const (
	storeGroup    = 90
	balancerGroup = 91
	serverGroup   = 92
	callerGroup   = 93
)

func (l *lab) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(loopback(storeGroup, 1), l.ports.store)
}

// record writes a line to the record.
func (l *lab) record(format string, args ...any) {
	_, _ = fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that the case cannot run.
func (l *lab) fail(format string, args ...any) {
	l.record("problem: "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// publish writes the operator's config: one route, to one of the defined services.
func (l *lab) publish(version int, to netip.AddrPort, service string, defined ...string) {
	var list []map[string]any
	for _, name := range defined {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 2000})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "services": list, "limits": map[string]any{"idle_timeout_ms": 15000},
		"routes": []map[string]any{{
			"name": "session-keep", "host": to.Addr().String(), "prefix": "/" + strconv.Itoa(int(to.Port())) + "/",
			"type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "service": service, "max_attempts": 2,
		}},
	})
	if err != nil {
		l.fail("config: %v", err)
	}
	l.store.Put("op/config", raw)
	l.record("config version %d acknowledged: the route leads to %s, defined are %v", version, service, defined)
}

func (l *lab) common(name string, ip netip.Addr, zone string) map[string]any {
	s := map[string]any{
		"name": name, "zone": zone, "metrics": netip.AddrPortFrom(ip, l.ports.first).String(),
		"ready": netip.AddrPortFrom(ip, l.ports.ready).String(), "maxFlowSeconds": maxFlowSeconds, "graceSeconds": graceSeconds,
		"contactMillis": contactMillis, "drainMillis": drainMillis, "applyMillis": applyMillis, "addressReuseSeconds": reuseSeconds,
	}
	return s
}

// seeds are the control addresses of the first balancers.
func (l *lab) seeds() (list []string) {
	for n := range 3 {
		list = append(list, netip.AddrPortFrom(loopback(balancerGroup, n+1), l.ports.control).String())
	}
	return list
}

// addBalancer adds the VM of a balancer.
func (l *lab) addBalancer(zone string) *process {
	ip := loopback(balancerGroup, len(l.balancers)+1)
	s := l.common(fmt.Sprintf("front-%d", len(l.balancers)+1), ip, zone)
	s["front"] = netip.AddrPortFrom(ip, l.ports.front).String()
	s["back"] = netip.AddrPortFrom(ip, l.ports.first).String()
	s["peer"] = netip.AddrPortFrom(ip, l.ports.control).String()
	s["agentPort"], s["seeds"], s["platform"] = l.ports.second, l.seeds(), l.storeAddress().String()
	p := &process{lab: l, role: "balancer", ip: ip, zone: zone, settings: s}
	l.balancers = append(l.balancers, p)
	return p
}

// addServer adds the VM of a server and its agent.
func (l *lab) addServer(zone, name string, slots int, work time.Duration) *server {
	n := len(l.servers) + 1
	ip := loopback(serverGroup, n)
	s := l.common(fmt.Sprintf("side-%d", n), ip, zone)
	s["service"] = name
	s["relay"] = netip.AddrPortFrom(ip, l.ports.second).String()
	s["outbound"] = netip.AddrPortFrom(ip, l.ports.outbound).String()
	s["server"] = netip.AddrPortFrom(ip, l.ports.app).String()
	s["requestIdHeader"] = "Bergamotgw-Request-Id"
	s["callers"] = netip.AddrPortFrom(ip, l.ports.front).String()
	s["seeds"] = l.seeds()
	l.agents = append(l.agents, &process{lab: l, role: "agent", ip: ip, zone: zone, settings: s})
	v := &server{lab: l, n: n, ip: ip, service: name, zone: zone, slots: slots, work: work}
	l.servers = append(l.servers, v)
	return v
}

// start starts the process with the command of the deploy file.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := json.Marshal(p.settings)
	path := filepath.Join(p.lab.dir, p.ip.String()+".json")
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		p.lab.fail("settings: %v", err)
		return
	}
	log, err := os.OpenFile(filepath.Join(p.lab.dir, p.ip.String()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.lab.fail("log: %v", err)
		return
	}
	cmd := exec.Command(p.lab.program, p.role, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.lab.fail("%s: %v", p.role, err)
		return
	}
	p.lab.record("%s at %s started", p.role, p.ip)
	done := make(chan struct{})
	p.cmd, p.done, p.stopping = cmd, done, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.stopping {
			p.lab.fail("%s at %s ended by itself: %v", p.role, p.ip, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	if p.role == "balancer" {
		go p.probe(done)
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.stopping = p.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.cmd.Process.Signal(s)
		p.lab.record("%s at %s: %v", p.role, p.ip, s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Probes of the readiness of balancers.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	missedProbes  = 2
)

// probe queries the readiness of a balancer until its process ends; the platform notices that by
// its probes, too.
func (p *process) probe(done chan struct{}) {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/api/readiness", netip.AddrPortFrom(p.ip, p.lab.ports.ready))
	for missed := 0; ; time.Sleep(probeInterval) {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
		}
		p.mu.Lock()
		if p.done != done {
			p.mu.Unlock()
			return
		}
		if err == nil && response.StatusCode == http.StatusOK {
			missed, p.ready = 0, true
		} else if missed++; missed >= missedProbes {
			p.ready = false
		}
		p.mu.Unlock()
	}
}

// route returns the balancer that the router selects for a flow: by rendezvous hashing over those in
// rotation, or over all if fewer than half are.
func (l *lab) route(f packet.Flow) (netip.AddrPort, bool) {
	var list []*process
	for _, p := range l.balancers {
		p.mu.Lock()
		if p.ready {
			list = append(list, p)
		}
		p.mu.Unlock()
	}
	if 2*len(list) < len(l.balancers) {
		list = l.balancers
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	best := slices.MaxFunc(list, func(a, b *process) int { return cmp.Compare(rank(f, a.ip), rank(f, b.ip)) })
	return netip.AddrPortFrom(best.ip, l.ports.front), true
}

func rank(f packet.Flow, ip netip.Addr) uint64 {
	var b [packet.FlowLen]byte
	f.Put(b[:])
	h := fnv.New64a()
	_, _ = h.Write(b[:])
	_, _ = h.Write(ip.AsSlice())
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}

// close ends all processes, and removes the settings and logs.
func (l *lab) close(keepLogs bool) {
	for _, p := range append(l.balancers, l.agents...) {
		p.kill()
	}
	if !keepLogs {
		_ = os.RemoveAll(l.dir)
	}
}

// recordHeld records that a packet of an open flow has reached the server that holds it.
func (l *lab) recordHeld(s *server, f packet.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[f] = s
}

// recordEnded records that a caller has closed a flow.
func (l *lab) recordEnded(f packet.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[f] = true
}

func (l *lab) recordUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered++
}

func (l *lab) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
}

// recordReset records that a caller has got a reset, and checks the rule FLOW: no server here stops, or
// resets a flow that its caller has not closed.
func (l *lab) recordReset(f packet.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets++
	owner := l.owners[f]
	if owner == nil || l.ended[f] {
		l.record("a reset of %s, which is not open", f)
		return
	}
	l.breaks++
	l.record("FLOW: %s is reset, though server %d lives and holds it", f, owner.n)
}
