package rights

import "time"

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
	seen                     map[Holder]sighting
}

type sighting struct {
	version uint64
	// unchanged is when the member row was first seen at version.
	unchanged time.Time
	// stranded is when the holding was first seen stranded; zero while it
	// is not.
	stranded time.Time
}

// NewWatch returns a watch that frees the rights of a holder whose member row
// did not change for holdTerm plus longestRequest.
func NewWatch(holdTerm, longestRequest time.Duration) *Watch {
	return &Watch{holdTerm: holdTerm, longestRequest: longestRequest, seen: make(map[Holder]sighting)}
}

// Live decides on a holding that is not stranded. readStart and readEnd bound
// the time of the read that showed m. The caller commits Free only on the
// condition that the member row still has m.Version.
func (w *Watch) Live(h Holder, m Member, readStart, readEnd time.Time) Fate {
	if m.Version == 0 {
		return Abandon
	}
	s, known := w.seen[h]
	if !known || s.version != m.Version {
		w.seen[h] = sighting{version: m.Version, unchanged: readEnd}
		return Keep
	}
	if readStart.Sub(s.unchanged) >= w.holdTerm+w.longestRequest {
		return Free
	}
	return Keep
}

// Stranded decides on a stranded holding. Its holder ended before it was
// stranded, so its last request ends within longestRequest of the first sight.
func (w *Watch) Stranded(h Holder, readStart, readEnd time.Time) Fate {
	s := w.seen[h]
	if s.stranded.IsZero() {
		s.stranded = readEnd
		w.seen[h] = s
		return Keep
	}
	if readStart.Sub(s.stranded) >= w.longestRequest {
		return Free
	}
	return Keep
}

// Retain forgets the holders for which keep reports false.
func (w *Watch) Retain(keep func(Holder) bool) {
	for h := range w.seen {
		if !keep(h) {
			delete(w.seen, h)
		}
	}
}
