package currency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnAge is the age of the latest known read of the head at which the
	// second host of a zone reads too. The first one reads every second, and
	// its read reaches the others of its zone in about two exchanges.
	turnAge = 1800 * time.Millisecond
	// turnStep is the further age for each later host, so that the hosts of
	// a zone take over one after the other and not all at once.
	turnStep = 300 * time.Millisecond
	// turnRanks bounds the hosts that take over, so that the reads during an
	// outage of the platform do not grow with the hosts of a zone.
	turnRanks = 3
)

// ReadTurn decides whether a host reads the head of the state at the
// platform. near are the other hosts of its zone that were heard lately; age
// is that of the latest read of the head by any host.
//
// The order is that of rendezvous hashing (Thaler and Ravishankar, 1998), so
// that a host that comes or goes changes the reader only if it is the reader.
func ReadTurn(self string, near []string, age time.Duration) bool {
	own := xxhash.Sum64String(self)
	rank := 0
	for _, other := range near {
		if h := xxhash.Sum64String(other); h > own || (h == own && other > self) {
			rank++
		}
	}
	if rank == 0 {
		return true
	}
	return rank <= turnRanks && age >= turnAge+time.Duration(rank-1)*turnStep
}
