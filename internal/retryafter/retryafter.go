// Package retryafter reads the Retry-After header of a response.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// Header is the name of the header.
	Header = "Retry-After"
	// Max bounds the time that Parse returns.
	Max = 10 * time.Minute
)

// Parse returns the time that the value of a Retry-After header states: seconds,
// with or without a fraction, or a date. It is from 0 to Max. Ok is false if the
// value cannot be read or is out of this range.
func Parse(value string, now time.Time) (wait time.Duration, ok bool) {
	stated, ok := parse(value, now)
	wait = min(max(stated, 0), Max)
	return wait, ok && wait == stated
}

func parse(value string, now time.Time) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if seconds != seconds { // not a number
			return 0, false
		}
		bounded := min(max(seconds, -1), Max.Seconds()+1)
		return time.Duration(bounded * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return at.Sub(now), true
}
