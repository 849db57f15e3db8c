package currency

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeoverAge is the age of the latest known read of the head at which the
	// second host of a zone reads too. The first one reads every second, and
	// its read reaches the others of its zone in about two exchanges.
	takeoverAge = 2000 * time.Millisecond
	// takeoverStep is the further age for each later host, so that the hosts of
	// a zone take over one after the other and not all at once.
	takeoverStep = 300 * time.Millisecond
	// maxTakeoverRank bounds the hosts that take over, so that the reads during an
	// outage of the platform do not grow with the hosts of a zone.
	maxTakeoverRank = 3
	// askReaderAge is the age of the latest known read of the head at which
	// the next exchange within the zone goes to the reader. With a read a
	// second, the relay by way of other hosts alone left 8 hosts of one zone
	// with proof of up to 2.8 s.
	askReaderAge = 1200 * time.Millisecond
	// outageAge is the age from which on the platform counts as down. It is
	// the default bound on proof, after which asking the reader is no use.
	outageAge = 3 * time.Second
)

// ShouldReadHead decides whether a host reads the head of the state at the
// platform. near are the other hosts of its zone that were heard lately; age
// is that of the latest read of the head by any host.
func ShouldReadHead(self string, near []string, age time.Duration) bool {
	rank := 0
	for _, other := range near {
		if ranksBefore(other, self) {
			rank++
		}
	}
	if rank == 0 {
		return true
	}
	return rank <= maxTakeoverRank && age >= takeoverAge+time.Duration(rank-1)*takeoverStep
}

// ReaderUrgency tells how much a host needs to ask its zone's reader.
type ReaderUrgency int

// Values of Need. ReaderUrgentInZone gives the reader the exchanges within the zone,
// ReaderUrgentAlways every exchange.
const (
	ReaderNotUrgent ReaderUrgency = iota
	ReaderUrgentInZone
	ReaderUrgentAlways
)

// ZoneReader returns the host that reads for a zone, and whether the others should
// ask it out of turn, because the latest read of the head that they know is
// about to become too old. Past that age it is the host that takes over.
// During an outage of the platform there is nothing to learn from it before
// others.
func ZoneReader(self string, near []string, age time.Duration) (string, ReaderUrgency) {
	order := append([]string{self}, near...)
	slices.SortFunc(order, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	reader, need := order[0], ReaderUrgentInZone
	if age > takeoverAge && len(order) > 1 {
		reader, need = order[1], ReaderUrgentAlways
	}
	if reader == self || age < askReaderAge || age >= outageAge {
		return reader, ReaderNotUrgent
	}
	return reader, need
}

// ranksBefore orders hosts by rendezvous hashing (Thaler and Ravishankar, 1998), so
// that a host that comes or goes changes the reader only if it is the reader.
func ranksBefore(a, b string) bool {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return x > y || (x == y && a > b)
}
