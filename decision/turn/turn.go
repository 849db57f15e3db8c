// Package turn decides which of several equal members does a piece of work.
package turn

import "github.com/cespare/xxhash/v2"

// Owns reports whether self has the highest rendezvous hash for key among
// members, which need not contain self (Thaler and Ravishankar, IEEE/ACM
// Transactions on Networking 6(1), 1998). Members with different views of the
// others can own the same key at once.
func Owns(self, key string, members []string) bool {
	mine := hash(self, key)
	for _, name := range members {
		if name != self && hash(name, key) > mine {
			return false
		}
	}
	return true
}

func hash(member, key string) uint64 { return xxhash.Sum64String(member + "\x00" + key) }
