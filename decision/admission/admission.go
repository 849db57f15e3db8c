// Package admission decides whether a caller's work is admitted, and what a
// refusal may say of its outcome.
package admission

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
)

// KeyCheck is what is known of the keys at the time of a decision.
type KeyCheck struct {
	// Presented is the key that came with the work; empty for none.
	Presented string
	// Age is the time since the keys were last proved current, and Bound the
	// longest such time for which keyed work is admitted.
	Age    time.Duration
	MaxAge time.Duration
}

func (k KeyCheck) isCurrent() bool { return k.Age <= k.MaxAge }

// Decision is the outcome of ToQueue and ToTeam. Team and Queue are set as far
// as they are known.
type Decision struct {
	// Refused is empty when the work is admitted.
	Refused fault.Reason
	Team    document.Team
	Queue   document.Queue
	// Identified is set when the caller may learn of the team's work: its
	// key is right by the keys known here, or the queue is open to all.
	Identified bool
}

// ToQueue decides whether work is admitted to a queue. doc is nil while there
// is no configuration.
func ToQueue(doc *document.Document, name string, keys KeyCheck) Decision {
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
	return decideByKey(team, queue, keys)
}

// ToTeam decides for which team a caller without a queue is admitted. A key is
// needed.
func ToTeam(doc *document.Document, keys KeyCheck) Decision {
	if doc == nil {
		return Decision{Refused: fault.ReasonNoState}
	}
	if keys.Presented == "" {
		return Decision{Refused: fault.ReasonNoKey}
	}
	presented, ok := keyring.Parse(keys.Presented)
	if !ok {
		return Decision{Refused: fault.ReasonWrongKey}
	}
	team, ok := doc.Team(presented.Holder)
	if !ok {
		return Decision{Refused: fault.ReasonWrongKey}
	}
	return decideByKey(team, document.Queue{Team: team.Name}, keys)
}

func decideByKey(team document.Team, queue document.Queue, keys KeyCheck) Decision {
	d := Decision{Team: team, Queue: queue}
	d.Refused = keyring.Admit(team, queue, keys.Presented).RefusalReason
	d.Identified = d.Refused == ""
	keyed := keys.Presented != "" || !queue.Open
	if keyed && !keys.isCurrent() {
		d.Refused = fault.ReasonKeysNotCurrent
	}
	return d
}

// maxCallerIDBytes is the longest identifier that a caller may choose, in bytes.
const maxCallerIDBytes = 128

// IsValidCallerID reports whether a caller may choose id: letters, digits and
// "-._~:@+=," so that it is one segment of a path and of a row's key.
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

// EarlierAttempts is what is known of earlier attempts under the same identifier.
type EarlierAttempts int

// The states of knowledge.
const (
	// EarlierUnknown means that the record was not or could not be read.
	EarlierUnknown EarlierAttempts = iota
	// EarlierNone means that none ran or will run: there is no record, or it
	// was released.
	EarlierNone
	// EarlierMayHaveRun means that one ran, runs, or may.
	EarlierMayHaveRun
)

// NotRun reports whether a refusal may say that the work was not run.
// attemptNotRun tells it of this attempt; recorded is set for work of which
// attempts are recorded under an identifier that the caller chose.
func NotRun(attemptNotRun, recorded bool, earlier EarlierAttempts) bool {
	return attemptNotRun && (!recorded || earlier == EarlierNone)
}
