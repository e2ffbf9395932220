package configsync

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Timing of a follower.
const (
	controlWait  = 20 * time.Second // length of a long poll of a control member
	peerWait     = time.Second      // length of a long poll of an entry; control is tried in between
	silenceLimit = 2500 * time.Millisecond
	// A source that failed is left alone for a time that doubles with each
	// failure. The first time is short, because an election of the control
	// members makes all of them fail at once.
	minCoolDown = 250 * time.Millisecond
	maxCoolDown = 5 * time.Second
	// pollPause bounds the polls during a row of changes; several changes then
	// arrive in one delta.
	pollPause      = 100 * time.Millisecond
	idlePause      = 500 * time.Millisecond // without any source
	evaluateEvery  = 250 * time.Millisecond
	evaluateMaxAge = time.Second
	behindLimit    = time.Second // a source that lacks a known version this long is left
)

// ControlMember is a control member that can be followed.
type ControlMember struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Address string `json:"address"` // IP address and port of its administration API
}

// Peer is an entry of the fleet and when something was last heard from it
// directly; zero: never.
type Peer struct {
	membership.Member
	LastHeard time.Time
}

// Options configure a Follower.
type Options struct {
	Name          string // of this entry
	Region        string
	DataCentre    string
	Control       []ControlMember
	DataCentres   []string // data centres of the fleet; those of peers are added
	Peers         func() []Peer
	HTTP          *http.Client // to control members and to peers; without a time limit for whole requests
	FleetToken    string
	Dir           disk.Dir      // keeps a copy of the catalog; nil: none is kept
	RegionCutTime time.Duration // how long to serve when the region is cut off; 0: not at all
	Clock         sys.Clock
	Log           *zap.Logger
}
