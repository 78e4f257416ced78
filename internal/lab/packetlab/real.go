package packetlab

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// Ports, probes and sizes of a deployment of real processes.
const (
	readyPort     = 28100
	peerPort      = 28200
	storePort     = 28300
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long a balancer may take to answer a probe of its readiness.
	probeTimeout = 400 * time.Millisecond
	// missedProbes is the number of failed probes in a row after which a balancer leaves the
	// rotation.
	missedProbes = 2
	// maxDatagram is the length of the receive buffers, in bytes.
	maxDatagram = 2048
)

// real runs balancers and agents as processes on loopback addresses. Callers, backend
// servers, the fabric and the platform stay in this process. Only the goroutine that runs
// the Lab calls its methods, except read and probe, which run on goroutines of their own.
type real struct {
	lab        *Lab
	program    string
	dir        string
	store      *standin.Store
	server     *http.Server
	fabricAddr netip.AddrPort
	// inbox passes calls from other goroutines to the one that runs the Lab.
	inbox   chan func()
	sockets map[netip.AddrPort]*net.UDPConn
	running map[netip.Addr]*process
	// health holds the TCP listeners of running servers, to which agents connect to check
	// whether the server runs.
	health  map[netip.AddrPort]net.Listener
	stopped chan struct{}
	tasks   sync.WaitGroup
	// loss is the share of the packets to and from callers and servers that are dropped on
	// purpose.
	loss float64
	// lastLossAt is when a packet was last dropped on purpose.
	lastLossAt time.Time
	// worstLag is the longest time by which an event has run later than scheduled.
	worstLag time.Duration
}

// process is a running balancer or agent.
type process struct {
	cmd     *exec.Cmd
	started time.Time
	log     *os.File
	// inRotation is true if the latest probes found the balancer ready.
	inRotation atomic.Bool
	done       chan struct{}
}

// NewRealLab returns a deployment in the given zones, without VMs, whose balancers and agents
// are processes of the given program. It runs in real time. dir holds the settings and logs
// of the processes. It returns an error if the stand-in of the platform cannot listen.
func NewRealLab(seed uint64, program, dir string, zones ...string) (*Lab, error) {
	l := NewLab(seed, zones...)
	l.clock = clockwork.NewRealClock()
	l.advance = nil
	l.started = l.clock.Now()
	l.codec, l.encode = platform.PacketCodec(), standin.EncodePacket
	r := &real{
		lab: l, program: program, dir: dir,
		store:   standin.NewStore(),
		inbox:   make(chan func(), 4096),
		sockets: make(map[netip.AddrPort]*net.UDPConn),
		running: make(map[netip.Addr]*process),
		health:  make(map[netip.AddrPort]net.Listener),
		stopped: make(chan struct{}),
	}
	l.real = r
	fabric := l.newVM("fabric")
	r.fabricAddr = netip.AddrPortFrom(fabric.ip, frontPort)
	l.listen(r.fabricAddr, func([]byte, netip.AddrPort) {})
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(fabric.ip, storePort).String())
	if err != nil {
		return nil, merry.Wrap(err)
	}
	r.server = &http.Server{Handler: r.store, ReadHeaderTimeout: time.Second}
	r.tasks.Go(func() { _ = r.server.Serve(listener) })
	return l, nil
}

// Close kills all processes that the Lab started, and closes its sockets. Only a Lab of real
// processes has to be closed.
func (l *Lab) Close() {
	r := l.real
	for ip := range r.running {
		r.kill(l.vms[ip])
	}
	for a := range r.health {
		r.stopHealth(a)
	}
	close(r.stopped)
	_ = r.server.Close()
	for _, s := range r.sockets {
		_ = s.Close()
	}
	r.tasks.Wait()
}

// listen calls receive with the datagrams that arrive at an address. If real processes run,
// it opens a socket there.
func (l *Lab) listen(a netip.AddrPort, receive func(raw []byte, from netip.AddrPort)) {
	l.receivers[a] = receive
	if l.real == nil {
		return
	}
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		l.addFinding("lab: %v", err)
		return
	}
	l.real.sockets[a] = s
	l.real.tasks.Go(func() { l.real.read(s, a) })
}

// read passes the datagrams of a socket to the inbox until the socket is closed.
func (r *real) read(s *net.UDPConn, a netip.AddrPort) {
	for {
		buf := make([]byte, maxDatagram)
		n, from, err := s.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		select {
		case r.inbox <- func() { r.receive(buf[:n], from, a) }:
		case <-r.stopped:
			return
		}
	}
}

// receive delivers a datagram to its receiver unless it is dropped on purpose.
func (r *real) receive(raw []byte, from, to netip.AddrPort) {
	if r.shouldDrop() {
		return
	}
	r.lab.receivers[to](raw, from)
}

// shouldDrop draws whether a packet is dropped on purpose, and records the time if it is.
func (r *real) shouldDrop() bool {
	if r.loss == 0 || r.lab.rand.Float64() >= r.loss {
		return false
	}
	r.lastLossAt = r.lab.clock.Now()
	return true
}

// send sends a datagram from a socket of the Lab unless it is dropped on purpose.
func (r *real) send(raw []byte, from, to netip.AddrPort) {
	if s := r.sockets[from]; s != nil && !r.shouldDrop() {
		_, _ = s.WriteToUDPAddrPort(raw, to)
	}
}

// runReal runs the scheduled events, and handles datagrams as they arrive, until the given
// time since the start.
func (l *Lab) runReal(until time.Duration) {
	end := l.started.Add(until)
	for now := l.clock.Now(); now.Before(end); now = l.clock.Now() {
		if len(l.events) > 0 && !l.events[0].at.After(now) {
			e := heap.Pop(&l.events).(event)
			l.real.worstLag = max(l.real.worstLag, now.Sub(e.at))
			e.run()
			continue
		}
		next := end
		if len(l.events) > 0 && l.events[0].at.Before(end) {
			next = l.events[0].at
		}
		select {
		case deliver := <-l.real.inbox:
			deliver()
		case <-l.clock.After(next.Sub(now)):
		}
	}
	// An event that takes past the end leaves no later one that would show its lag.
	l.real.worstLag = max(l.real.worstLag, l.clock.Now().Sub(end))
}

// publish stores routes in the stand-in of the platform.
func (r *real) publish(routes catalog.Routes) {
	if err := r.store.Publish(routes); err != nil {
		r.lab.addFinding("lab: %v", err)
	}
}

// register stores the entry of a server in the stand-in of the platform.
func (r *real) register(v catalog.Server) {
	if err := r.store.Register(v, appPort); err != nil {
		r.lab.addFinding("lab: %v", err)
	}
}

// startAgent starts the agent process of a server.
func (r *real) startAgent(s *serverVM) {
	overage, slack := r.lab.warmupBounds()
	r.start(s.vm, "agent", packetsettings.Agent{
		WarmupOverage: overage, WarmupSlack: slack,
		Common:   r.common(s.vm),
		Service:  s.service.Name,
		Relay:    s.relay(),
		Outbound: s.outbound(),
		Server:   s.app(),
		Callers:  netip.AddrPortFrom(s.ip, callerPort),
		Seeds:    []netip.AddrPort{netip.AddrPortFrom(s.ip, peerPort)},
	})
}

// startBalancer starts the process of a balancer, and probes its readiness until it ends.
func (r *real) startBalancer(b *balancerVM) {
	var seeds []netip.AddrPort
	for _, other := range r.lab.balancers[:min(len(r.lab.balancers), 3)] {
		seeds = append(seeds, netip.AddrPortFrom(other.ip, peerPort))
	}
	p := r.start(b.vm, "balancer", packetsettings.Balancer{
		Common:    r.common(b.vm),
		Front:     netip.AddrPortFrom(b.ip, frontPort),
		Back:      b.back(),
		Peer:      netip.AddrPortFrom(b.ip, peerPort),
		AgentPort: agentPort,
		Seeds:     seeds,
		Platform:  netip.AddrPortFrom(r.fabricAddr.Addr(), storePort),
	})
	if p != nil {
		r.tasks.Go(func() { r.probe(b.ip, p) })
	}
}

// common returns the settings that balancers and agents share.
func (r *real) common(v *vm) packetsettings.Common {
	return packetsettings.Common{
		Name: v.ip.String(), Zone: v.zone, Ready: netip.AddrPortFrom(v.ip, readyPort),
		MaxFlowSeconds: maxFlow.Seconds(), GraceSeconds: 6,
		EvacuateMillis: r.lab.settingMillis(evacuateBound), DrainMillis: r.lab.settingMillis(drainBound),
	}
}

// start starts a process on a VM and appends its output to the log of the VM. It returns nil
// if the process cannot be started, or if one runs there already, as after overlapping faults.
func (r *real) start(v *vm, command string, settings any) *process {
	if !r.exited(v) {
		return nil
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		r.lab.addFinding("lab: %v", err)
		return nil
	}
	path := filepath.Join(r.dir, v.ip.String()+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		r.lab.addFinding("lab: %v", err)
		return nil
	}
	log, err := os.OpenFile(filepath.Join(r.dir, v.ip.String()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.lab.addFinding("lab: %v", err)
		return nil
	}
	cmd := exec.Command(r.program, command, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		r.lab.addFinding("lab: %v", err)
		return nil
	}
	p := &process{cmd: cmd, started: r.lab.clock.Now(), log: log, done: make(chan struct{})}
	r.running[v.ip] = p
	r.tasks.Go(func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	})
	return p
}

// kill kills the process on a VM and waits until it has ended.
func (r *real) kill(v *vm) {
	p := r.running[v.ip]
	if p == nil {
		return
	}
	delete(r.running, v.ip)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// signal sends a signal to the process on a VM.
func (r *real) signal(v *vm, s syscall.Signal) {
	if p := r.running[v.ip]; p != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// reload sends SIGHUP to the process on a VM, which reads its settings again. It sends none to
// a process that has just started: SIGHUP ends any program whose runtime has not installed its
// signal handlers yet.
func (r *real) reload(v *vm) {
	if p := r.running[v.ip]; p != nil && r.lab.clock.Since(p.started) > startTime {
		r.signal(v, syscall.SIGHUP)
	}
}

// startTime is how long a process may take to install its signal handlers on a busy machine.
const startTime = 500 * time.Millisecond

// exited reports whether no process runs on a VM: it was stopped or has ended by itself.
func (r *real) exited(v *vm) bool {
	p := r.running[v.ip]
	if p == nil {
		return true
	}
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ready reports whether a balancer is in rotation: its latest probes succeeded, or it was
// stopped and the fabric has not detected it yet.
func (r *real) ready(b *balancerVM) bool {
	p := r.running[b.ip]
	return p != nil && p.inRotation.Load() || p == nil && r.lab.clock.Now().Before(b.routedUntil)
}

// probe queries the readiness of a balancer every probeInterval until its process ends.
func (r *real) probe(ip netip.Addr, p *process) {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/ready", netip.AddrPortFrom(ip, readyPort))
	for missed := 0; ; {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			missed = 0
			p.inRotation.Store(true)
		} else if missed++; missed >= missedProbes {
			p.inRotation.Store(false)
		}
		select {
		case <-p.done:
			return
		case <-r.stopped:
			return
		case <-time.After(probeInterval):
		}
	}
}
