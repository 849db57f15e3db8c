// Package admission decides whether a caller's work is admitted, and what a
// refusal may state about its outcome.
package admission

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
)

// KeyCheck is a presented key and the staleness of the keys it is checked
// against.
type KeyCheck struct {
	// Presented is the key that came with the work; empty for none.
	Presented string
	// Staleness is the time since the keys were last known to be fresh. Keyed
	// work is admitted only up to MaxStaleness.
	Staleness    time.Duration
	MaxStaleness time.Duration
}

func (k KeyCheck) isFresh() bool { return k.Staleness <= k.MaxStaleness }

// Decision is the result of ToQueue and ToTeam. Team and Queue are set as far
// as they are known.
type Decision struct {
	// Refused is empty when the work is admitted.
	Refused fault.Reason
	Team    document.Team
	Queue   document.Queue
	// Identified is set if the caller may see the team's work: its key matches
	// the keys known to this host, or the queue is open to all.
	Identified bool
}

// ToQueue decides whether work is admitted to a queue. doc is nil while no
// configuration has been read.
func ToQueue(doc *document.Document, name string, key KeyCheck) Decision {
	if doc == nil {
		return Decision{Refused: fault.ReasonNoState}
	}
	queue, ok := doc.Queue(name)
	if !ok {
		return Decision{Refused: fault.ReasonUnknownQueue}
	}
	team, ok := doc.Team(queue.Team)
	if !ok {
		return Decision{Refused: fault.ReasonUnknownQueue}
	}
	return decideByKey(team, queue, key)
}

// ToTeam decides to which team a caller that names no queue is admitted. A key
// is required.
func ToTeam(doc *document.Document, key KeyCheck) Decision {
	if doc == nil {
		return Decision{Refused: fault.ReasonNoState}
	}
	if key.Presented == "" {
		return Decision{Refused: fault.ReasonNoKey}
	}
	presented, ok := keyring.Parse(key.Presented)
	if !ok {
		return Decision{Refused: fault.ReasonWrongKey}
	}
	team, ok := doc.Team(presented.Holder)
	if !ok {
		return Decision{Refused: fault.ReasonWrongKey}
	}
	return decideByKey(team, document.Queue{Team: team.Name}, key)
}

func decideByKey(team document.Team, queue document.Queue, key KeyCheck) Decision {
	d := Decision{Team: team, Queue: queue}
	d.Refused = keyring.Admit(team, queue, key.Presented).RefusalReason
	d.Identified = d.Refused == ""
	needsFreshKeys := key.Presented != "" || !queue.Open
	if needsFreshKeys && !key.isFresh() {
		d.Refused = fault.ReasonKeysNotCurrent
	}
	return d
}

// maxCallerIDBytes is the longest identifier that a caller may choose, in bytes.
const maxCallerIDBytes = 128

// IsValidCallerID reports whether a caller may choose id. Only letters, digits
// and "-._~:@+=," are allowed, so that id is a single segment of a path and of
// a row key.
func IsValidCallerID(id string) bool {
	if id == "" || id == "." || id == ".." || len(id) > maxCallerIDBytes {
		return false
	}
	for _, b := range []byte(id) {
		if !isCallerIDByte(b) {
			return false
		}
	}
	return true
}

func isCallerIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	switch b {
	case '-', '.', '_', '~', ':', '@', '+', '=', ',':
		return true
	}
	return false
}

// EarlierAttempts states what is known of earlier attempts with the same
// identifier.
type EarlierAttempts int

// Values of EarlierAttempts.
const (
	// EarlierUnknown means that the record was not read, or could not be read.
	EarlierUnknown EarlierAttempts = iota
	// EarlierNone means that no attempt ran or will run: there is no record, or
	// it was released.
	EarlierNone
	// EarlierMayHaveRun means that an attempt ran, is running, or may run.
	EarlierMayHaveRun
)

// NotRun reports whether a refusal may state that the work was not run.
// attemptNotRun states it for this attempt alone; recorded is set if attempts
// are recorded under an identifier that the caller chose.
func NotRun(attemptNotRun, recorded bool, earlier EarlierAttempts) bool {
	return attemptNotRun && (!recorded || earlier == EarlierNone)
}
