// Package catalogfeed carries changes of the catalog between processes by long
// polling. Control members and entries serve it, and entries follow it.
//
// A response is a sequence of lines of JSON. While nothing has changed, a line
// of type "alive" is sent twice a second, so that a follower notices a silent
// connection and a source that lost contact with its leader. The response ends
// with a line of type "delta", followed by the stated number of bytes of a
// gzip-compressed plan.Delta, or with a line of type "end".
package catalogfeed

import "time"

// Paths of the feed.
const (
	ControlPath = "/v1/catalog/changes"
	PeerPath    = "/peer/v1/catalog/changes"
)

// Limits of the feed.
const (
	MaxWait         = 60 * time.Second
	AliveInterval   = 500 * time.Millisecond
	maxLineLength   = 4 << 10  // bytes
	maxPayloadBytes = 64 << 20 // bytes of a compressed delta
	maxDeltaBytes   = 256 << 20
	lineTimeout     = 5 * time.Second
	payloadTimeout  = time.Minute // 64 MiB at 1 MiB/s
)

const (
	lineAlive = "alive"
	lineDelta = "delta"
	lineEnd   = "end"
)

// line is one line of a response.
type line struct {
	Type    string `json:"type"`
	Contact bool   `json:"contact"` // whether the source is itself in contact with a leader
	Version uint64 `json:"version"` // version of the source's copy
	Bytes   int64  `json:"bytes,omitempty"`
}
