package rights

import (
	"maps"
	"time"
)

// MemberRow is the result of reading a holder's member row. Version zero means
// that the row does not exist, which proves that the host has ended: the row
// was deleted by the host itself after it drained, or because an operator
// stated its end.
type MemberRow struct {
	Version uint64
}

// HoldingAction is what may be done with a holding.
type HoldingAction int

// Actions on a holding.
const (
	// KeepHolding leaves the holding as it is.
	KeepHolding HoldingAction = iota
	// OrphanHolding marks the holding as orphaned, because its holder has ended.
	OrphanHolding
	// ReclaimHolding marks the holding as orphaned, unless it is already, and
	// reclaims its request rights.
	ReclaimHolding
)

// HolderMonitor records since when this host has seen the member row of each
// holder unchanged, and each holding orphaned. One duty owns it. All times are
// on this host's clock.
type HolderMonitor struct {
	holdTerm, longestRequest time.Duration
	sightings                map[Holder]sighting
	// orphanedSince is when each holding was first seen orphaned.
	orphanedSince map[orphanKey]time.Time
}

type sighting struct {
	version uint64
	// unchangedSince is when the member row was first seen at version.
	unchangedSince time.Time
}

// orphanKey identifies one occasion on which a holding was orphaned. Without
// the version, the rights of a holder that came back and was orphaned again
// would be freed too early.
type orphanKey struct {
	team    string
	holder  Holder
	version uint64
}

// NewHolderMonitor returns a monitor that permits reclaiming the rights of a
// holder whose member row did not change for holdTerm plus longestRequest.
func NewHolderMonitor(holdTerm, longestRequest time.Duration) *HolderMonitor {
	return &HolderMonitor{
		holdTerm: holdTerm, longestRequest: longestRequest,
		sightings: make(map[Holder]sighting), orphanedSince: make(map[orphanKey]time.Time),
	}
}

// CheckLive decides on a holding that is not orphaned. readStart and readEnd
// bound the time of the read that returned member. The caller commits
// ReclaimHolding only on condition that the member row still has
// member.Version.
func (m *HolderMonitor) CheckLive(h Holder, member MemberRow, readStart, readEnd time.Time) HoldingAction {
	if member.Version == 0 {
		return OrphanHolding
	}
	s, known := m.sightings[h]
	if !known || s.version != member.Version {
		m.sightings[h] = sighting{version: member.Version, unchangedSince: readEnd}
		return KeepHolding
	}
	if readStart.Sub(s.unchangedSince) >= m.holdTerm+m.longestRequest {
		return ReclaimHolding
	}
	return KeepHolding
}

// CheckOrphaned decides on an orphaned holding. Its holder ended before it was
// orphaned, so its last request ends within longestRequest of the first time it
// was seen orphaned.
func (m *HolderMonitor) CheckOrphaned(team string, h Holding, readStart, readEnd time.Time) HoldingAction {
	key := orphanKey{team, h.Holder, h.OrphanedAt}
	since, known := m.orphanedSince[key]
	if !known {
		m.orphanedSince[key] = readEnd
		return KeepHolding
	}
	if readStart.Sub(since) >= m.longestRequest {
		return ReclaimHolding
	}
	return KeepHolding
}

// Retain removes the records of holders for which keep reports false.
func (m *HolderMonitor) Retain(keep func(Holder) bool) {
	maps.DeleteFunc(m.sightings, func(h Holder, _ sighting) bool { return !keep(h) })
	maps.DeleteFunc(m.orphanedSince, func(k orphanKey, _ time.Time) bool { return !keep(k.holder) })
}
