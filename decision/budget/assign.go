package budget

import (
	"path"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Buckets is the number of parts over which assignments are spread.
const Buckets = 64

// Bucket returns the bucket, from 0 to Buckets-1, that holds the assignment
// of host. The hash is XXH64 and never changes, because stored assignments
// depend on it.
func Bucket(host string) int {
	return int(xxhash.Sum64String(host) % Buckets)
}

// declaredPool is a pool and the section that declares it.
type declaredPool struct {
	document.Pool
	section string
}

// declaredPools returns the pools in document order: sections by name, and
// within a section in the order in which it lists them.
func declaredPools(doc *document.Document) []declaredPool {
	if doc == nil {
		return nil
	}
	names := make([]string, 0, len(doc.Sections))
	for name := range doc.Sections {
		names = append(names, name)
	}
	slices.Sort(names)
	var pools []declaredPool
	for _, name := range names {
		for _, p := range doc.Sections[name].Pools {
			pools = append(pools, declaredPool{Pool: p, section: name})
		}
	}
	return pools
}

// InitialPool returns the pool for a host that no pool has yet: the first
// pool of the host's kind in document order with a matching adopt pattern,
// else the spare pool of its kind. It reports false when there is neither.
func InitialPool(doc *document.Document, h fleet.Host) (string, bool) {
	p, ok := initialPool(declaredPools(doc), h)
	return p.Name, ok
}

func initialPool(pools []declaredPool, h fleet.Host) (declaredPool, bool) {
	for _, p := range pools {
		if p.Kind == h.Kind && matchesAdoptPattern(p.Pool, h.Name) {
			return p, true
		}
	}
	for _, p := range pools {
		if p.Kind == h.Kind && p.Spare {
			return p, true
		}
	}
	return declaredPool{}, false
}

func matchesAdoptPattern(p document.Pool, host string) bool {
	for _, pattern := range p.Adopt {
		if ok, err := path.Match(pattern, host); err == nil && ok {
			return true
		}
	}
	return false
}
