package freshness

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeoverAge is the age of the latest known read of the head at which the
	// second host of a zone reads too. The first one reads every second, and
	// its result reaches the other hosts of its zone in about two exchanges.
	takeoverAge = 2000 * time.Millisecond
	// takeoverStep is the additional age for each further host, so that the
	// hosts of a zone take over one by one and not all at once.
	takeoverStep = 300 * time.Millisecond
	// maxTakeoverRank bounds the number of hosts that take over, so that the
	// number of reads during a platform outage does not grow with the zone.
	maxTakeoverRank = 3
	// askReaderAge is the age of the latest known read of the head at which
	// the next exchange within the zone goes to the reader. With one read per
	// second, relaying through other hosts alone left 8 hosts of one zone up to
	// 2.8 s stale.
	askReaderAge = 1200 * time.Millisecond
	// outageAge is the age at and above which the platform counts as down. It
	// is the default staleness bound, after which asking the reader is useless.
	outageAge = 3 * time.Second
)

// ShouldReadHead reports whether a host is to read the head of the state at the
// platform. sameZone are the other hosts of its zone with a recent contact; age
// is that of the latest read of the head by any host.
func ShouldReadHead(self string, sameZone []string, age time.Duration) bool {
	rank := 0
	for _, other := range sameZone {
		if ranksBefore(other, self) {
			rank++
		}
	}
	if rank == 0 {
		return true
	}
	return rank <= maxTakeoverRank && age >= takeoverAge+time.Duration(rank-1)*takeoverStep
}

// ReaderUrgency is how urgently a host needs to ask its zone's reader.
type ReaderUrgency int

// Reader urgencies. ReaderUrgentInZone sends the exchanges within the zone to
// the reader, ReaderUrgentAlways every exchange.
const (
	ReaderNotUrgent ReaderUrgency = iota
	ReaderUrgentInZone
	ReaderUrgentAlways
)

// ZoneReader returns the host that reads the head for a zone, and how urgently
// the other hosts should ask it out of turn because the latest read known to
// them is about to become too old. Above takeoverAge it is the host that takes
// over. During a platform outage the reader learns nothing before the others,
// so it is not asked out of turn.
func ZoneReader(self string, sameZone []string, age time.Duration) (string, ReaderUrgency) {
	hosts := append([]string{self}, sameZone...)
	slices.SortFunc(hosts, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	reader, urgency := hosts[0], ReaderUrgentInZone
	if age > takeoverAge && len(hosts) > 1 {
		reader, urgency = hosts[1], ReaderUrgentAlways
	}
	if reader == self || age < askReaderAge || age >= outageAge {
		return reader, ReaderNotUrgent
	}
	return reader, urgency
}

// ranksBefore orders hosts by rendezvous hashing (Thaler and Ravishankar,
// 1998), so that a host that joins or leaves changes the reader only if it is
// the reader.
func ranksBefore(a, b string) bool {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return x > y || (x == y && a > b)
}
