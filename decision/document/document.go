// Package document defines the operators' document: one long document whose
// sections are owned by different teams of operators.
//
// The package performs no I/O and no encoding. Field tags name the keys under
// which package wire reads and writes a section.
package document

import (
	"path"
	"sync"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Section is the unit of ownership and of change. A name declared in one
// section (of a pool, team or queue) may not be declared in another.
type Section struct {
	// Name identifies the section within the document.
	Name string `json:"name" yaml:"section"`
	// Pools are declared by this section.
	Pools []Pool `json:"pools,omitempty" yaml:"pools,omitempty"`
	// Teams are declared by this section.
	Teams []Team `json:"teams,omitempty" yaml:"teams,omitempty"`
	// Queues are declared by this section.
	Queues []Queue `json:"queues,omitempty" yaml:"queues,omitempty"`
	// Operators are declared by this section. Only the section "operators" may
	// declare any.
	Operators []Operator `json:"operators,omitempty" yaml:"operators,omitempty"`
}

// OperatorsSection is the only section that may declare operators.
const OperatorsSection = "operators"

// Pool is a set of hosts of one kind to which queues send work.
type Pool struct {
	Name string         `json:"name" yaml:"name"`
	Kind fleet.HostKind `json:"kind" yaml:"kind"`
	// Spare marks the pool that receives hosts adopted by no other pool. At
	// most one pool of each kind is spare.
	Spare bool `json:"spare,omitempty" yaml:"spare,omitempty"`
	// Adopt lists path.Match patterns of host names; a matching host is
	// assigned to this pool when it is first seen.
	Adopt []string `json:"adopt,omitempty" yaml:"adopt,omitempty"`
	// MaxUnavailable is the availability budget: the number of the pool's
	// hosts that may be out of service at once, failed hosts included.
	MaxUnavailable int `json:"maxUnavailable" yaml:"maxUnavailable"`
	// MaxUnavailablePerZone bounds the same number within one availability
	// zone; zero means no separate bound.
	MaxUnavailablePerZone int `json:"maxUnavailablePerZone,omitempty" yaml:"maxUnavailablePerZone,omitempty"`
	// MaxRacksOut bounds the number of racks in which a host of this pool is
	// out of service; zero means no bound.
	MaxRacksOut int `json:"maxRacksOut,omitempty" yaml:"maxRacksOut,omitempty"`
	// Elastic permits moves of hosts that follow demand: out of the pool while
	// more than MinHosts are left, and into it, unless it is spare, up to
	// MaxHosts; zero for MaxHosts means no bound. The bounds neither cause a
	// move by themselves nor prevent a move requested by an operator.
	Elastic  bool `json:"elastic,omitempty" yaml:"elastic,omitempty"`
	MinHosts int  `json:"minHosts,omitempty" yaml:"minHosts,omitempty"`
	MaxHosts int  `json:"maxHosts,omitempty" yaml:"maxHosts,omitempty"`
}

// Team owns keys and has a share and an upper limit.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// Share is the team's weight when the fleet is full.
	Share float64 `json:"share" yaml:"share"`
	// Limit is the number of requests and jobs that the team may have running
	// at once in the whole fleet.
	Limit int `json:"limit" yaml:"limit"`
	// Keys are those that the team's callers present, stored as hashes.
	Keys []Key `json:"keys,omitempty" yaml:"keys,omitempty"`
}

// Key is the stored form of a key. The secret itself is never stored.
type Key struct {
	ID string `json:"id" yaml:"id"`
	// Salt and Hash are lower-case hexadecimal; Hash is
	// SHA-256(salt || secret).
	Salt string `json:"salt" yaml:"salt"`
	Hash string `json:"hash" yaml:"hash"`
	// Withdrawn keys stay listed, so that their use can be distinguished from
	// the use of an unknown key.
	Withdrawn bool `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Queue carries the work of one team, or of every caller if Open is set, to one
// pool.
type Queue struct {
	Name string `json:"name" yaml:"name"`
	// Team is the team whose share and limit the work counts against.
	Team string `json:"team" yaml:"team"`
	Pool string `json:"pool" yaml:"pool"`
	// Class is urgent, interactive or batch.
	Class fleet.QueueClass `json:"class" yaml:"class"`
	// Open queues accept work without a key.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// MaxWaiting bounds the number of requests waiting on one entry host; zero
	// means the default of 256.
	MaxWaiting int `json:"maxWaiting,omitempty" yaml:"maxWaiting,omitempty"`
}

// Operator may change the sections covered by its patterns.
type Operator struct {
	Name string `json:"name" yaml:"name"`
	Key  Key    `json:"key" yaml:"key"`
	// Sections are path.Match patterns of section names.
	Sections []string `json:"sections" yaml:"sections"`
	// Hosts permits host operations (drain, return, move, waves).
	Hosts bool `json:"hosts,omitempty" yaml:"hosts,omitempty"`
}

// Covers reports whether one of o's patterns covers a section.
func (o Operator) Covers(section string) bool {
	for _, pattern := range o.Sections {
		if ok, err := path.Match(pattern, section); ok && err == nil {
			return true
		}
	}
	return false
}

// Document is the whole document, by section name. It is immutable once built,
// and its methods may be used concurrently. It must not be copied.
type Document struct {
	Sections map[string]Section

	indexOnce sync.Once
	index     index
}
