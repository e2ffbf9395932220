package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

// RequireAddress reports a value that is not an IP address and port.
func RequireAddress(report Report, path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		report(path, value, `want an IP address with a port, such as "10.0.0.1:8080"`)
	}
}

// RequireNonEmpty reports an empty value.
func RequireNonEmpty(report Report, path, value string) {
	if value == "" {
		report(path, value, "must not be empty")
	}
}

// RequireDurationRange reports a duration below low or above high.
func RequireDurationRange(report Report, path string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		report(path, value, "want a duration from "+low.String()+" to "+high.String())
	}
}

// RequireIntRange reports a number below low or above high.
func RequireIntRange(report Report, path string, value, low, high int) {
	if value < low || value > high {
		report(path, value, fmt.Sprintf("want a whole number from %d to %d", low, high))
	}
}

// ReadToken returns the secret in a file without surrounding white space. It
// returns an *Error if the file cannot be read or is empty.
func ReadToken(file string) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{File: file, Problem: "token file cannot be read: " + withoutPath(err)}
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", &Error{File: file, Problem: "token file must not be empty"}
	}
	return token, nil
}
