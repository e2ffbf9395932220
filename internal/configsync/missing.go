package configsync

import (
	"slices"
	"time"
)

// maxMissing bounds the versions that are tracked. While the list is full,
// newer versions are left out.
const maxMissing = 1000

// missing tracks the versions that were heard of and are not held. Each has
// its own time: with one time for all of them, a row of changes each of which
// arrives soon would look like one change that never arrives.
type missing struct {
	highest uint64 // highest version heard of
	heard   []heardVersion
}

type heardVersion struct {
	version uint64
	at      time.Time
}

// hear records that a version exists.
func (m *missing) hear(version uint64, now time.Time) {
	if version <= m.highest {
		return
	}
	m.highest = version
	if len(m.heard) < maxMissing {
		m.heard = append(m.heard, heardVersion{version: version, at: now})
	}
}

// hold drops the versions that are held now. What was left out while the list
// was full starts to count now.
func (m *missing) hold(version uint64, now time.Time) {
	held := 0
	for held < len(m.heard) && m.heard[held].version <= version {
		held++
	}
	m.heard = slices.Delete(m.heard, 0, held)
	if len(m.heard) == 0 && m.highest > version {
		m.heard = append(m.heard, heardVersion{version: m.highest, at: now})
	}
}

// since returns when the oldest missing version was heard of; zero: none.
func (m *missing) since() time.Time {
	if len(m.heard) == 0 {
		return time.Time{}
	}
	return m.heard[0].at
}
