package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router is a stand-in for the platform's routers: it forwards each packet of a client to a
// balancer in rotation, by a steady hash.
type router struct {
	lab    *lab
	client http.Client
	mu     sync.Mutex
	fronts []*front
}

type front struct {
	ip         netip.Addr
	missed     int
	inRotation bool
}

// Probes of the readiness of a balancer.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	missesAllowed = 2
)

func newRouter(l *lab) *router {
	return &router{lab: l, client: http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// add adds a balancer and probes it until the lab ends.
func (r *router) add(ip netip.Addr) {
	f := &front{ip: ip, missed: missesAllowed}
	r.mu.Lock()
	r.fronts = append(r.fronts, f)
	r.mu.Unlock()
	go func() {
		url := "http://" + netip.AddrPortFrom(ip, r.lab.ports.ready).String() + "/api/readiness"
		for {
			ok := false
			if resp, err := r.client.Get(url); err == nil {
				_ = resp.Body.Close()
				ok = resp.StatusCode == http.StatusOK
			}
			r.mu.Lock()
			before := f.inRotation
			if ok {
				f.missed, f.inRotation = 0, true
			} else if f.missed++; f.missed >= missesAllowed {
				f.inRotation = false
			}
			now := f.inRotation
			r.mu.Unlock()
			if before != now {
				r.lab.record("router: balancer %s in rotation: %t", ip, now)
			}
			select {
			case <-r.lab.done:
				return
			case <-time.After(probeInterval):
			}
		}
	}()
}

// forward sends a packet to the balancer of its flow. If fewer than half of the balancers are in
// rotation, all are used.
func (r *router) forward(s *net.UDPConn, key flowKey, raw []byte) {
	r.mu.Lock()
	var in []*front
	for _, f := range r.fronts {
		if f.inRotation {
			in = append(in, f)
		}
	}
	if 2*len(in) < len(r.fronts) {
		in = r.fronts
	}
	var best *front
	var bestScore uint64
	for _, f := range in {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key.String() + f.ip.String()))
		score := h.Sum64()
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		score ^= score >> 32
		if best == nil || score > bestScore {
			best, bestScore = f, score
		}
	}
	r.mu.Unlock()
	_, _ = s.WriteToUDPAddrPort(raw, netip.AddrPortFrom(best.ip, r.lab.ports.packets))
}

// ready returns the number of balancers in rotation.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.fronts {
		if f.inRotation {
			n++
		}
	}
	return n
}
