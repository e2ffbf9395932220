package configsync

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Timing of a Follower.
const (
	controlPollWait     = 20 * time.Second // long poll of a control member
	peerPollWait        = time.Second      // long poll of an entry; short, because control is retried between these polls
	responseIdleTimeout = 2500 * time.Millisecond
	// Backoff of a source after a failure; it doubles with each failure. The
	// minimum is short, because all control members fail at once during an
	// election.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// pollDelay is the delay between polls of control. It limits the poll rate
	// during a series of changes, so that several of them arrive in one delta.
	pollDelay         = 100 * time.Millisecond
	noSourceDelay     = 500 * time.Millisecond // delay between polls while no source is available
	freshnessInterval = 250 * time.Millisecond
	maxFreshnessAge   = time.Second
	maxSourceLag      = time.Second // a source that lacks a known version for longer is abandoned
)

// ControlMember is a control member that can be followed.
type ControlMember struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Address string `json:"address"` // IP address and port of its administration API
}

// Peer is an entry of the fleet.
type Peer struct {
	membership.Member
	LastContact time.Time // last direct contact; zero: never
}

// Options configure a Follower.
type Options struct {
	Name           string // name of this entry
	Region         string
	DataCentre     string
	Control        []ControlMember
	DataCentres    []string // data centres of the fleet; those of peers are added as they become known
	Peers          func() []Peer
	HTTP           *http.Client // for control members and peers; without an overall timeout, because a long poll takes up to 20 s
	FleetToken     string
	Dir            disk.Dir      // where a copy of the catalog is stored; nil: not stored
	RegionCutGrace time.Duration // how long to keep serving when the region is cut off; 0: not at all
	Clock          sys.Clock
	Log            *zap.Logger
}
