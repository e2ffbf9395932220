// Package catalogfeed transfers changes of the catalog between processes by long
// polling. Control members and entries serve the feed, and entries poll it.
//
// A response is a sequence of JSON lines. While nothing has changed, the server
// sends a line of type "alive" twice a second, so that the client detects a dead
// connection and a source that lost contact with its leader. The response ends
// with a line of type "end", or with a line of type "delta" that is followed by a
// gzip-compressed plan.Delta of the size given in the line.
package catalogfeed

import "time"

// Paths of the feed.
const (
	ControlPath = "/v1/catalog/changes"
	PeerPath    = "/peer/v1/catalog/changes"
)

// Limits of the feed.
const (
	MaxWait              = 60 * time.Second
	AliveInterval        = 500 * time.Millisecond
	maxLineLength        = 4 << 10         // bytes
	maxPayloadBytes      = 64 << 20        // size of a compressed delta
	maxUncompressedBytes = 256 << 20       // size of an uncompressed delta
	lineTimeout          = 5 * time.Second // write timeout of a line
	payloadTimeout       = time.Minute     // write timeout of a payload; allows for 64 MiB at about 1 MiB/s
)

// Types of a line.
const (
	lineAlive = "alive"
	lineDelta = "delta"
	lineEnd   = "end"
)

// line is a JSON line of a response.
type line struct {
	Type      string `json:"type"`
	InContact bool   `json:"contact"`         // whether the source is in contact with a leader
	Version   uint64 `json:"version"`         // version of the source's copy
	Bytes     int64  `json:"bytes,omitempty"` // size of the payload that follows a delta line
}
