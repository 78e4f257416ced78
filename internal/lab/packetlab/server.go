package packetlab

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/packetagent"
)

// Service is a service with the properties of its backend servers.
type Service struct {
	// Name is the name of the service.
	Name string
	// Slots is the number of requests that a server runs at a time.
	Slots int
	// Queue is the number of further requests that wait in a server; it refuses others.
	Queue int
	// Boot is how long a server takes from its start until it listens and registers.
	Boot time.Duration
	// Cold is how long a server is slower after its start.
	Cold time.Duration
	// ColdFactor multiplies the time that a server works on a request during Cold.
	ColdFactor float64
}

// serverVM is a VM with a backend server and its agent.
type serverVM struct {
	*vm
	lab     *Lab
	id      int
	service Service
	// speed divides the work of requests; slow multiplies it, and is 1 unless a fault slows
	// the server down.
	speed, slow float64
	state       catalog.State
	born        time.Time
	// alive is true while the server listens, whether or not its agent runs.
	alive bool
	// resets is true while the server resets every flow on which it receives a request.
	resets bool
	// coldSyns holds the times of the opening packets that reached the server while it was cold, as
	// far as they are less than a second old.
	coldSyns []time.Time
	// drainedAt is when the platform listed the server as draining; zero if it did not.
	drainedAt time.Time
	// stopsAt is when the VM stops at the end of its latest drain; zero if it never drained.
	stopsAt time.Time
	// agentStartedAt is when the agent was last started.
	agentStartedAt time.Time

	agent    *packetagent.Agent
	flows    map[packet.Flow]*serverFlow
	inFlight int
	waiting  []func()
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	stream
	name    packet.Flow
	opened  bool
	request []byte
}

func (s *serverVM) app() netip.AddrPort      { return netip.AddrPortFrom(s.ip, appPort) }
func (s *serverVM) outbound() netip.AddrPort { return netip.AddrPortFrom(s.ip, outPort) }
func (s *serverVM) relay() netip.AddrPort    { return netip.AddrPortFrom(s.ip, agentPort) }

// AddServer adds a VM in the given zone and starts a backend server and its agent on it.
func (l *Lab) AddServer(zone string, service Service, speed float64) *serverVM {
	s := &serverVM{vm: l.newVM(zone), lab: l, service: service, speed: speed, slow: 1}
	l.servers = append(l.servers, s)
	l.listen(s.app(), s.receive)
	s.startServer()
	s.startAgent()
	return s
}

// startServer starts the server under a new entry and without flows. It listens once it has booted.
func (s *serverVM) startServer() {
	s.lab.nextID++
	s.id = int(s.lab.nextID)
	s.state, s.born = catalog.Ready, s.lab.clock.Now()
	s.drainedAt, s.coldSyns = time.Time{}, nil
	if s.stopsAt.After(s.lab.suddenStopAt) {
		s.lab.suddenStopAt = s.stopsAt
	}
	s.flows = make(map[packet.Flow]*serverFlow)
	s.inFlight, s.waiting = 0, nil
	if s.service.Boot == 0 {
		s.listen()
		return
	}
	id := s.id
	s.lab.after(s.service.Boot, func() {
		if s.up && s.id == id && s.flows != nil {
			s.listen()
		}
	})
}

// listen opens the sockets of the server and registers it.
func (s *serverVM) listen() {
	s.alive = true
	if s.lab.real != nil {
		s.lab.real.startHealth(s.app())
	}
	s.lab.platform.register(s)
}

// startAgent starts the agent with an empty flow table.
func (s *serverVM) startAgent() {
	l := s.lab
	s.epoch++
	s.agentStartedAt = l.clock.Now()
	if l.real != nil {
		l.real.startAgent(s)
		return
	}
	overage, slack := l.warmupBounds()
	epoch := s.epoch
	s.agent = packetagent.NewAgentWithTransport(packetagent.Config{
		WarmupOverage: overage, WarmupSlack: slack,
		Service:    catalog.ServiceID(s.service.Name),
		Relay:      s.relay(),
		CallerPort: callerPort,
		MaxFlow:    maxFlow,
		Codec:      l.codec,
		Observe:    func(bool, time.Duration, time.Duration) {},
		Probe:      func() { l.after(localDelay, func() { s.probe(epoch) }) },
		Clock:      l.clock,
		Log:        l.eventLog(s.vm),
	}, packetagent.Transport{
		SendFleetDatagram: func(raw []byte, to netip.AddrPort) error { l.send(raw, s.relay(), to); return nil },
		SendToServer:      func(raw []byte) error { l.send(raw, s.outbound(), s.app()); return nil },
	})
	s.probe(epoch)
	l.receivers[s.relay()] = s.agent.HandleFleetDatagram
	l.receivers[s.outbound()] = func(raw []byte, _ netip.AddrPort) { s.agent.HandleServerPacket(raw) }
	l.every(s.vm, packetagent.MaintainInterval, s.agent.Maintain)
}

// probe tells the agent of the given epoch whether the server refuses a connection.
func (s *serverVM) probe(epoch int) {
	if !s.up || s.epoch != epoch {
		return
	}
	var err error
	if !s.alive {
		err = syscall.ECONNREFUSED
	}
	s.agent.RecordProbe(s.lab.clock.Now(), err)
}

// stopAgent stops the agent; the server keeps running.
func (s *serverVM) stopAgent() {
	s.epoch++
	s.endPause()
	if s.lab.real != nil {
		s.lab.real.kill(s.vm)
	}
	delete(s.lab.receivers, s.relay())
	delete(s.lab.receivers, s.outbound())
	s.disturbedAt = s.lab.clock.Now()
}

// crash stops the server, which loses its flows; its agent keeps running.
func (s *serverVM) crash() {
	s.alive = false
	s.flows = nil
	if s.lab.real != nil {
		s.lab.real.stopHealth(s.app())
	}
	s.disturbedAt = s.lab.clock.Now()
}

// receive handles a packet from the agent. The server returns packets of flows that it does
// not hold to the agent, marked as bounced.
func (s *serverVM) receive(raw []byte, _ netip.AddrPort) {
	if !s.alive {
		return
	}
	p, ok := s.lab.codec.Parse(raw)
	if !ok {
		return
	}
	f := p.FlowFromCaller()
	flow := s.flows[f]
	s.lab.recordPacket(s, f, p, flow != nil || p.Syn)
	switch {
	case p.Syn:
		s.open(f, p)
	case flow == nil:
		p.Bounced = true
		s.lab.send(s.lab.encode(p), s.app(), s.outbound())
	case p.Reset:
		s.lab.recordFlowClosed(f)
		delete(s.flows, f)
	case flow.closed && p.Fin:
		s.reply(f, packet.Packet{Ack: true, Seq: flow.next + 1, AckSeq: p.NextSeq()})
	case flow.closed && len(p.Data) > 0:
		s.reply(f, packet.Packet{Reset: true, Seq: p.AckSeq})
	case flow.closed:
	case p.Fin:
		s.lab.recordFlowClosed(f)
		s.reply(f, packet.Packet{Ack: true, Fin: true, Seq: flow.next, AckSeq: p.NextSeq()})
		flow.closed = true
	default:
		if !flow.opened {
			if p.AckSeq != flow.next {
				return
			}
			flow.opened = true
			s.lab.recordFlowOpened(s, f)
		}
		flow.handle(p)
	}
}

func (s *serverVM) reply(f packet.Flow, p packet.Packet) {
	p.SourceIP, p.SourcePort = f.ServiceIP, f.ServicePort
	p.DestinationIP, p.DestinationPort = f.CallerIP, f.CallerPort
	s.lab.send(s.lab.encode(p), s.app(), s.outbound())
}

// open opens a flow for a SYN, unless it is open already, and answers the SYN.
func (s *serverVM) open(f packet.Flow, p packet.Packet) {
	flow := s.flows[f]
	if flow == nil {
		s.lab.recordOpening(s, f)
		first := s.lab.rand.Uint32()
		flow = &serverFlow{name: f, stream: stream{lab: s.lab, next: first + 1, acked: first + 1, expected: p.Seq + 1}}
		flow.send = func(p packet.Packet) { s.reply(f, p) }
		flow.received = func(data []byte) { s.receiveData(f, flow, data) }
		flow.failed = func() { s.lab.recordFlowClosed(f); delete(s.flows, f); flow.closed = true }
		s.flows[f] = flow
	}
	s.lab.recordSyn(s, f)
	s.reply(f, packet.Packet{Syn: true, Ack: true, Seq: flow.next - 1, AckSeq: p.Seq + 1})
}

// requestHeaderLen is the length of a request's header in bytes: its number, the work in
// microseconds, the length of the request, and the length of the answer. Padding follows.
const requestHeaderLen = 8 + 4 + 4 + 4

// receiveData handles bytes of a request. When the request is complete, the server runs or
// queues it, or refuses it if its slots and queue are full.
func (s *serverVM) receiveData(f packet.Flow, flow *serverFlow, data []byte) {
	flow.request = append(flow.request, data...)
	if len(flow.request) < requestHeaderLen {
		return
	}
	length := int(binary.BigEndian.Uint32(flow.request[12:]))
	if len(flow.request) < length {
		return
	}
	request := flow.request[:length]
	flow.request = flow.request[length:]
	if s.resets {
		s.reset(flow)
		return
	}
	if s.inFlight >= s.service.Slots+s.service.Queue {
		s.lab.tally.Shed++
		flow.write(answer(request, false))
		return
	}
	s.inFlight++
	s.waiting = append(s.waiting, func() { s.work(flow, request) })
	if s.inFlight <= s.service.Slots {
		s.startNext()
	}
}

// startNext starts the request that has waited longest, if there is one.
func (s *serverVM) startNext() {
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
}

// work runs a request and answers it, unless the server stops before.
func (s *serverVM) work(flow *serverFlow, request []byte) {
	id := binary.BigEndian.Uint64(request)
	s.lab.recordRun(id)
	took := float64(binary.BigEndian.Uint32(request[8:])) / s.speed * s.slow
	if s.lab.clock.Since(s.born) < s.service.Cold {
		took *= s.service.ColdFactor
	}
	born := s.born
	s.lab.after(time.Duration(took)*time.Microsecond, func() {
		if !s.alive || s.born != born {
			return
		}
		s.inFlight--
		s.startNext()
		if flow.closed {
			return
		}
		flow.write(answer(request, true))
		if s.state == catalog.Draining {
			s.lab.after(drainLinger, func() { s.finish(flow) })
		}
	})
}

// drainLinger is how long a draining server keeps a flow open after an answer, so that the
// answer arrives before the FIN.
const drainLinger = 20 * time.Millisecond

// finish sends a FIN, with which the server closes a flow.
func (s *serverVM) finish(flow *serverFlow) {
	if flow.closed || !s.alive {
		return
	}
	s.lab.recordFlowClosed(flow.name)
	s.reply(flow.name, packet.Packet{Ack: true, Fin: true, Seq: flow.next, AckSeq: flow.expected})
}

// reset deletes a flow and sends a reset to its caller.
func (s *serverVM) reset(flow *serverFlow) {
	s.lab.recordFlowClosed(flow.name)
	delete(s.flows, flow.name)
	flow.closed = true
	s.reply(flow.name, packet.Packet{Reset: true, Ack: true, Seq: flow.next, AckSeq: flow.expected})
}

// answer returns the answer to a request: the number of the request, whether it was served,
// the length of the answer, and padding.
func answer(request []byte, served bool) []byte {
	length := answerHeaderLen
	if served {
		length = max(length, int(binary.BigEndian.Uint32(request[16:])))
	}
	b := make([]byte, length)
	copy(b, request[:8])
	b[8] = bit(served, 1)
	binary.BigEndian.PutUint32(b[9:], uint32(length))
	return b
}

// answerHeaderLen is the length of an answer without its padding, in bytes.
const answerHeaderLen = 8 + 1 + 4
