package settings

import (
	"net"
	"strconv"
)

// WithPort returns the addresses with another port; 0 keeps them as they are.
func WithPort(addresses []string, port int) []string {
	changed := make([]string, len(addresses))
	for i, address := range addresses {
		changed[i] = address
		if host, _, err := net.SplitHostPort(address); err == nil && port != 0 {
			changed[i] = net.JoinHostPort(host, strconv.Itoa(port))
		}
	}
	return changed
}
