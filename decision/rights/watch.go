package rights

import (
	"maps"
	"time"
)

// MemberRow is what a read of a holder's member row showed. Version zero means
// that the row does not exist, which states that the host has ended: it was
// deleted by the host itself after it drained, or on an operator's statement.
type MemberRow struct {
	Version uint64
}

// HoldingAction is what may be done with a holding.
type HoldingAction int

// Fates of a holding.
const (
	// KeepHolding leaves the holding as it is.
	KeepHolding HoldingAction = iota
	// StrandHolding strands the holding, because its holder has ended.
	StrandHolding
	// ReclaimHolding strands the holding where that has not happened yet and reclaims
	// its request rights.
	ReclaimHolding
)

// HolderMonitor remembers since when this host has seen each holder without a sign of
// life. One duty owns it. Times are on this host's clock only.
type HolderMonitor struct {
	holdTerm, longestRequest time.Duration
	sightings                map[Holder]sighting
	// strandedSince is when a holding was first seen stranded.
	strandedSince map[strandedKey]time.Time
}

type sighting struct {
	version uint64
	// unchangedSince is when the member row was first seen at version.
	unchangedSince time.Time
}

// strandedKey names one time at which a holding was stranded. Without the
// version, a holder that came back and was stranded again would be freed too
// early.
type strandedKey struct {
	team    string
	holder  Holder
	version uint64
}

// NewHolderMonitor returns a watch that frees the rights of a holder whose member row
// did not change for holdTerm plus longestRequest.
func NewHolderMonitor(holdTerm, longestRequest time.Duration) *HolderMonitor {
	return &HolderMonitor{
		holdTerm: holdTerm, longestRequest: longestRequest,
		sightings: make(map[Holder]sighting), strandedSince: make(map[strandedKey]time.Time),
	}
}

// CheckLive decides on a holding that is not stranded. readStart and readEnd bound
// the time of the read that showed m. The caller commits Free only on the
// condition that the member row still has m.Version.
func (w *HolderMonitor) CheckLive(h Holder, m MemberRow, readStart, readEnd time.Time) HoldingAction {
	if m.Version == 0 {
		return StrandHolding
	}
	s, known := w.sightings[h]
	if !known || s.version != m.Version {
		w.sightings[h] = sighting{version: m.Version, unchangedSince: readEnd}
		return KeepHolding
	}
	if readStart.Sub(s.unchangedSince) >= w.holdTerm+w.longestRequest {
		return ReclaimHolding
	}
	return KeepHolding
}

// CheckStranded decides on a stranded holding. Its holder ended before it was
// stranded, so its last request ends within longestRequest of the first sight.
func (w *HolderMonitor) CheckStranded(team string, h Holding, readStart, readEnd time.Time) HoldingAction {
	key := strandedKey{team, h.Holder, h.StrandedAt}
	since, known := w.strandedSince[key]
	if !known {
		w.strandedSince[key] = readEnd
		return KeepHolding
	}
	if readStart.Sub(since) >= w.longestRequest {
		return ReclaimHolding
	}
	return KeepHolding
}

// Retain forgets the holders for which keep reports false.
func (w *HolderMonitor) Retain(keep func(Holder) bool) {
	maps.DeleteFunc(w.sightings, func(h Holder, _ sighting) bool { return !keep(h) })
	maps.DeleteFunc(w.strandedSince, func(k strandedKey, _ time.Time) bool { return !keep(k.holder) })
}
