// Package freeports reserves loopback addresses for processes started by tests
// and demos.
package freeports

import (
	"fmt"
	"net"

	"github.com/gravitational/trace"
)

// Ports reserves ports and keeps them open until Release, so that the kernel does
// not assign one of them twice. Each process should get a loopback address of its
// own: the kernel takes the source ports of connections on 127.0.0.1 from the same
// range and could assign the port of a process that is restarting.
type Ports struct {
	hostCount int
	reserved  []interface{ Close() error }
}

// NextHost returns a loopback address that has not been returned before.
func (p *Ports) NextHost() string {
	p.hostCount++
	return fmt.Sprintf("127.0.%d.%d", 1+p.hostCount/250, 1+p.hostCount%250)
}

// ReserveTCP reserves a TCP port of the loopback address.
func (p *Ports) ReserveTCP(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.reserved = append(p.reserved, l)
	return l.Addr().String(), nil
}

// ReserveUDP reserves a UDP port of the loopback address.
func (p *Ports) ReserveUDP(host string) (string, error) {
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.reserved = append(p.reserved, c)
	return c.LocalAddr().String(), nil
}

// Release closes the reserved ports. It is called just before the processes that
// use them start.
func (p *Ports) Release() {
	for _, h := range p.reserved {
		_ = h.Close()
	}
	p.reserved = nil
}
