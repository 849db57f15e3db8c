package rights

import (
	"maps"
	"time"
)

// Member is what a read of a holder's member row showed. Version zero means
// that the row does not exist, which states that the host has ended: it was
// deleted by the host itself after it drained, or on an operator's statement.
type Member struct {
	Version uint64
}

// Fate is what may be done with a holding.
type Fate int

// Fates of a holding.
const (
	// Keep leaves the holding as it is.
	Keep Fate = iota
	// Abandon strands the holding, because its holder has ended.
	Abandon
	// Free strands the holding where that has not happened yet and reclaims
	// its request rights.
	Free
)

// Watch remembers since when this host has seen each holder without a sign of
// life. One duty owns it. Times are on this host's clock only.
type Watch struct {
	holdTerm, longestRequest time.Duration
	live                     map[Holder]sighting
	// stranded is when a holding was first seen stranded.
	stranded map[strandedKey]time.Time
}

type sighting struct {
	version uint64
	// unchanged is when the member row was first seen at version.
	unchanged time.Time
}

// strandedKey names one time at which a holding was stranded. Without the
// version, a holder that came back and was stranded again would be freed too
// early.
type strandedKey struct {
	team    string
	holder  Holder
	version uint64
}

// NewWatch returns a watch that frees the rights of a holder whose member row
// did not change for holdTerm plus longestRequest.
func NewWatch(holdTerm, longestRequest time.Duration) *Watch {
	return &Watch{
		holdTerm: holdTerm, longestRequest: longestRequest,
		live: make(map[Holder]sighting), stranded: make(map[strandedKey]time.Time),
	}
}

// Live decides on a holding that is not stranded. readStart and readEnd bound
// the time of the read that showed m. The caller commits Free only on the
// condition that the member row still has m.Version.
func (w *Watch) Live(h Holder, m Member, readStart, readEnd time.Time) Fate {
	if m.Version == 0 {
		return Abandon
	}
	s, known := w.live[h]
	if !known || s.version != m.Version {
		w.live[h] = sighting{version: m.Version, unchanged: readEnd}
		return Keep
	}
	if readStart.Sub(s.unchanged) >= w.holdTerm+w.longestRequest {
		return Free
	}
	return Keep
}

// Stranded decides on a stranded holding. Its holder ended before it was
// stranded, so its last request ends within longestRequest of the first sight.
func (w *Watch) Stranded(team string, h Holding, readStart, readEnd time.Time) Fate {
	key := strandedKey{team, h.Holder, h.StrandedAt}
	since, known := w.stranded[key]
	if !known {
		w.stranded[key] = readEnd
		return Keep
	}
	if readStart.Sub(since) >= w.longestRequest {
		return Free
	}
	return Keep
}

// Retain forgets the holders for which keep reports false.
func (w *Watch) Retain(keep func(Holder) bool) {
	maps.DeleteFunc(w.live, func(h Holder, _ sighting) bool { return !keep(h) })
	maps.DeleteFunc(w.stranded, func(k strandedKey, _ time.Time) bool { return !keep(k.holder) })
}
