// Package rendezvous decides which of several equal members performs a piece of work.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Owns reports whether self has the highest rendezvous hash for key among
// members, which need not contain self (Thaler and Ravishankar, IEEE/ACM
// Transactions on Networking 6(1), 1998). Members that know different sets of
// members can own the same key at once.
func Owns(self, key string, members []string) bool {
	ownHash := hash(self, key)
	for _, name := range members {
		if name != self && hash(name, key) > ownHash {
			return false
		}
	}
	return true
}

func hash(member, key string) uint64 { return xxhash.Sum64String(member + "\x00" + key) }
