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

// Parameters of real processes.
const (
	readyPort     = 28100
	peerPort      = 28200
	storePort     = 28300
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long a balancer may take to answer a probe.
	probeTimeout = 400 * time.Millisecond
	// missedProbes take a balancer out of rotation.
	missedProbes = 2
	maxDatagram  = 2048
)

// real runs balancers and agents as processes on loopback addresses. Callers,
// backend servers, fabric and platform stay in this process. Its methods are
// called from the Lab's own task only, but for what is noted.
type real struct {
	lab        *Lab
	program    string
	dir        string
	store      *standin.Store
	server     *http.Server
	fabricAddr netip.AddrPort
	// inbox takes what other tasks hand to the Lab's own.
	inbox   chan func()
	sockets map[netip.AddrPort]*net.UDPConn
	running map[netip.Addr]*process
	// health holds the TCP listeners of servers that run.
	health  map[netip.AddrPort]net.Listener
	stopped chan struct{}
	tasks   sync.WaitGroup
	// loss is the share of packets of callers and servers that is lost.
	loss float64
	// lastLossAt is when packets were last lost on purpose.
	lastLossAt time.Time
	// worstLag is how much later than planned an event was played at most.
	worstLag time.Duration
}

// process is a running balancer or agent.
type process struct {
	cmd     *exec.Cmd
	started time.Time
	log     *os.File
	// inRotation is what the latest probes of a balancer say.
	inRotation atomic.Bool
	done       chan struct{}
}

// NewRealLab returns a deployment whose balancers and agents are processes of
// the given program, with their settings and logs in dir.
func NewRealLab(seed uint64, program, dir string, zones ...string) (*Lab, error) {
	l := NewLab(seed, zones...)
	l.clock = clockwork.NewRealClock()
	l.advance = nil
	l.started = l.clock.Now()
	l.codec, l.encode = platform.PacketCodec(), standin.PutPacket
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

// Close ends every process that the Lab started, and its sockets.
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

// listen hands the datagrams at an address to a receiver.
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

// read passes the datagrams of a socket on until it is closed.
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

func (r *real) receive(raw []byte, from, to netip.AddrPort) {
	if r.shouldDrop() {
		return
	}
	r.lab.receivers[to](raw, from)
}

// shouldDrop reports whether a packet is to be lost.
func (r *real) shouldDrop() bool {
	if r.loss == 0 || r.lab.rand.Float64() >= r.loss {
		return false
	}
	r.lastLossAt = r.lab.clock.Now()
	return true
}

// send writes a datagram from a socket of the Lab.
func (r *real) send(raw []byte, from, to netip.AddrPort) {
	if s := r.sockets[from]; s != nil && !r.shouldDrop() {
		_, _ = s.WriteToUDPAddrPort(raw, to)
	}
}

// runReal plays events and datagrams until the given time since the start.
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
}

// startHealth accepts connections at the address of a server, which tells agents that
// it runs.
func (r *real) startHealth(a netip.AddrPort) {
	r.stopHealth(a)
	listener, err := net.Listen("tcp4", a.String())
	if err != nil {
		r.lab.addFinding("lab: %v", err)
		return
	}
	r.health[a] = listener
	r.tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	})
}

// stopHealth refuses connections at the address of a server.
func (r *real) stopHealth(a netip.AddrPort) {
	if listener, ok := r.health[a]; ok {
		_ = listener.Close()
		delete(r.health, a)
	}
}

func (r *real) publish(routes catalog.Routes) {
	if err := r.store.Publish(routes); err != nil {
		r.lab.addFinding("lab: %v", err)
	}
}

func (r *real) register(v catalog.Server) {
	if err := r.store.Register(v, appPort); err != nil {
		r.lab.addFinding("lab: %v", err)
	}
}

func (r *real) startAgent(s *serverVM) {
	r.start(s.vm, "agent", packetsettings.Agent{
		Common:   r.common(s.vm),
		Service:  s.service.Name,
		Relay:    s.relay(),
		Outbound: s.outbound(),
		Server:   s.app(),
		Callers:  netip.AddrPortFrom(s.ip, callerPort),
		Seeds:    []netip.AddrPort{netip.AddrPortFrom(s.ip, peerPort)},
	})
}

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

func (r *real) common(v *vm) packetsettings.Common {
	return packetsettings.Common{
		Name: v.ip.String(), Zone: v.zone, Ready: netip.AddrPortFrom(v.ip, readyPort),
		MaxFlowSeconds: maxFlow.Seconds(), GraceSeconds: 6,
	}
}

// start starts a process on a VM, whose log is appended to. It returns nil if
// one runs there already, as after overlapping faults.
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

// kill ends the process on a VM at once and waits for its end.
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

// reload tells the process on a VM to read its settings again. One that has just
// started is left alone: SIGHUP ends any program whose runtime has not installed
// its signal handlers yet.
func (r *real) reload(v *vm) {
	if p := r.running[v.ip]; p != nil && r.lab.clock.Since(p.started) > startTime {
		r.signal(v, syscall.SIGHUP)
	}
}

// startTime is how long a process may take to start on a busy machine.
const startTime = 500 * time.Millisecond

// exited reports whether the process on a VM has ended by itself.
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

// ready reports whether a balancer is in rotation.
func (r *real) ready(b *balancerVM) bool {
	p := r.running[b.ip]
	return p != nil && p.inRotation.Load() || p == nil && r.lab.clock.Now().Before(b.routedUntil)
}

// probe asks a balancer at intervals whether it is ready, until it ends.
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
