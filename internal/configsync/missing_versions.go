package configsync

import (
	"slices"
	"time"
)

// maxMissingVersions is the maximum number of versions that are tracked. While
// the list is full, newer versions are not added.
const maxMissingVersions = 1000

// missingVersions tracks the versions that are known to exist but are not held.
// Each has its own time. With a single time for all of them, a series of changes
// that each arrive soon would look like one change that never arrives.
type missingVersions struct {
	highest  uint64 // highest known version
	versions []missingVersion
}

type missingVersion struct {
	version    uint64
	knownSince time.Time
}

// markKnown records that a version exists.
func (m *missingVersions) markKnown(version uint64, now time.Time) {
	if version <= m.highest {
		return
	}
	m.highest = version
	if len(m.versions) < maxMissingVersions {
		m.versions = append(m.versions, missingVersion{version: version, knownSince: now})
	}
}

// markHeld removes the versions up to version. If none is left but a higher
// version was not added while the list was full, that one counts as missing
// from now on.
func (m *missingVersions) markHeld(version uint64, now time.Time) {
	held := 0
	for held < len(m.versions) && m.versions[held].version <= version {
		held++
	}
	m.versions = slices.Delete(m.versions, 0, held)
	if len(m.versions) == 0 && m.highest > version {
		m.versions = append(m.versions, missingVersion{version: m.highest, knownSince: now})
	}
}

// since returns when the lowest missing version became known; zero: none is
// missing.
func (m *missingVersions) since() time.Time {
	if len(m.versions) == 0 {
		return time.Time{}
	}
	return m.versions[0].knownSince
}
