package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/settings"
)

// modeName is the name of a simulated gray failure.
type modeName string

const (
	modeNormal     modeName = "normal"
	modeSlow       modeName = "slow"       // service time is multiplied by Factor
	modeErrors     modeName = "errors"     // Share of requests get status 500
	modeSilent     modeName = "silent"     // requests are accepted but get no response
	modeTruncated  modeName = "truncated"  // Share of responses are cut off
	modeShed       modeName = "shed"       // Share of requests are rejected as not run
	modeFlapping   modeName = "flapping"   // alternates between silent and normal each Period
	modeFrozen     modeName = "frozen"     // requests and probes wait until the mode changes and then continue
	modeCold       modeName = "cold"       // the multiplier of the service time falls from Factor to 1 over Period
	modeMisleading modeName = "misleading" // probes succeed, requests fail
	modeCrossed    modeName = "crossed"    // Share of responses carry the id of the previous request
	modeDoubled    modeName = "doubled"    // Share of responses are written twice
	modeLeaving    modeName = "leaving"    // Share of responses say that the target is about to stop
	modePostponing modeName = "postponing" // Share of requests are rejected and asked to come back after Period
)

var knownModes = []modeName{
	modeNormal, modeSlow, modeErrors, modeSilent, modeTruncated, modeShed,
	modeFlapping, modeFrozen, modeCold, modeMisleading, modeCrossed, modeDoubled,
	modeLeaving, modePostponing,
}

// mode is the body of POST /mode.
type mode struct {
	Mode   modeName          `json:"mode"`
	Factor float64           `json:"factor"` // default 10
	Share  float64           `json:"share"`  // share of requests, 0 to 1; default 1
	Period settings.Duration `json:"period"` // default 1s
}

func defaultMode() mode {
	return mode{Mode: modeNormal, Factor: 10, Share: 1, Period: settings.Duration(time.Second)}
}

// Check implements settings.Checker.
func (m *mode) Check(report settings.Report) {
	known := false
	for _, name := range knownModes {
		known = known || name == m.Mode
	}
	if !known {
		report("mode", m.Mode, "want a known mode")
	}
	if m.Factor < 0 {
		report("factor", m.Factor, "want 0 or more")
	}
	if m.Share < 0 || m.Share > 1 {
		report("share", m.Share, "want a number from 0 to 1")
	}
	settings.RequireDurationRange(report, "period", m.Period, time.Millisecond, time.Hour)
}

// resolve returns the mode in force at now for a mode set at since: flapping
// becomes silent or normal, and cold becomes slow or normal.
func (m mode) resolve(since, now time.Time) mode {
	elapsed := now.Sub(since)
	period := m.Period.Std()
	switch m.Mode {
	case modeFlapping:
		m.Mode = modeNormal
		if (elapsed/period)%2 == 0 {
			m.Mode = modeSilent
		}
	case modeCold:
		if elapsed >= period {
			m.Mode = modeNormal
			return m
		}
		remaining := 1 - float64(elapsed)/float64(period)
		m.Mode = modeSlow
		m.Factor = 1 + (m.Factor-1)*remaining
	}
	return m
}

// stats is the body of GET /stats.
type stats struct {
	Requests    int            `json:"requests"` // requests that ran
	MaxInFlight int            `json:"max_in_flight"`
	Probes      int            `json:"probes"`
	Shed        int            `json:"shed"`
	Runs        map[string]int `json:"runs"` // number of runs by idempotency key
}

func (t *target) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /mode", t.serveMode)
	mux.HandleFunc("GET /stats", t.serveStats)
	return mux
}

func (t *target) serveMode(w http.ResponseWriter, r *http.Request) {
	m := defaultMode()
	raw, err := io.ReadAll(io.LimitReader(r.Body, 4096))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := settings.Parse("mode", raw, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.setMode(m)
	w.WriteHeader(http.StatusNoContent)
}

func (t *target) serveStats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	encoded, err := json.Marshal(t.stats)
	t.mu.Unlock()
	if err != nil {
		panic("upstream: statistics cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
