// Package freeports reserves loopback addresses for processes that tests and
// demos start.
package freeports

import (
	"fmt"
	"net"

	"github.com/gravitational/trace"
)

// Ports reserves addresses. All ports of a set are held until Release, so that
// the kernel does not hand out one of them twice. Each process should get a
// loopback address of its own, since the kernel takes source ports of
// connections on 127.0.0.1 from the same range and could hand out the port of a
// process that is restarting.
type Ports struct {
	next int
	held []interface{ Close() error }
}

// Host returns the next loopback address.
func (p *Ports) Host() string {
	p.next++
	return fmt.Sprintf("127.0.%d.%d", 1+p.next/250, 1+p.next%250)
}

// TCP reserves a TCP port of the loopback address.
func (p *Ports) TCP(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.held = append(p.held, l)
	return l.Addr().String(), nil
}

// UDP reserves a UDP port of the loopback address.
func (p *Ports) UDP(host string) (string, error) {
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.held = append(p.held, c)
	return c.LocalAddr().String(), nil
}

// Release frees the ports just before the processes that use them start.
func (p *Ports) Release() {
	for _, h := range p.held {
		_ = h.Close()
	}
	p.held = nil
}
