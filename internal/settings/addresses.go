package settings

import (
	"net"
	"strconv"
)

// WithPort returns the addresses with their port replaced by port; port 0 keeps
// them, and an address without a port is kept too.
func WithPort(addresses []string, port int) []string {
	replaced := make([]string, len(addresses))
	for i, address := range addresses {
		replaced[i] = address
		if host, _, err := net.SplitHostPort(address); err == nil && port != 0 {
			replaced[i] = net.JoinHostPort(host, strconv.Itoa(port))
		}
	}
	return replaced
}
