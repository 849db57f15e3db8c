// Package admission decides whether a caller's work is admitted, and what a
// refusal may say of its outcome.
package admission

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
)

// Keys is what is known of the keys at the time of a decision.
type Keys struct {
	// Presented is the key that came with the work; empty for none.
	Presented string
	// Age is the time since the keys were last proved current, and Bound the
	// longest such time for which keyed work is admitted.
	Age   time.Duration
	Bound time.Duration
}

func (k Keys) current() bool { return k.Age <= k.Bound }

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
func ToQueue(doc *document.Document, name string, keys Keys) Decision {
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
	return withKey(team, queue, keys)
}

// ToTeam decides for which team a caller without a queue is admitted. A key is
// needed.
func ToTeam(doc *document.Document, keys Keys) Decision {
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
	return withKey(team, document.Queue{Team: team.Name}, keys)
}

func withKey(team document.Team, queue document.Queue, keys Keys) Decision {
	d := Decision{Team: team, Queue: queue}
	d.Refused = keyring.Admit(team, queue, keys.Presented).RefusalReason
	d.Identified = d.Refused == ""
	keyed := keys.Presented != "" || !queue.Open
	if keyed && !keys.current() {
		d.Refused = fault.ReasonKeysNotCurrent
	}
	return d
}

// maxCallerID is the longest identifier that a caller may choose, in bytes.
const maxCallerID = 128

// IsCallerID reports whether a caller may choose id: letters, digits and
// "-._~:@+=," so that it is one segment of a path and of a row's key.
func IsCallerID(id string) bool {
	if id == "" || id == "." || id == ".." || len(id) > maxCallerID {
		return false
	}
	for _, b := range []byte(id) {
		if !isCallerByte(b) {
			return false
		}
	}
	return true
}

func isCallerByte(b byte) bool {
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

// Earlier is what is known of earlier attempts under the same identifier.
type Earlier int

// The states of knowledge.
const (
	// EarlierUnread means that the record was not or could not be read.
	EarlierUnread Earlier = iota
	// EarlierNone means that none ran or will run: there is no record, or it
	// was released.
	EarlierNone
	// EarlierStarted means that one ran, runs, or may.
	EarlierStarted
)

// NotRun reports whether a refusal may say that the work was not run.
// attemptNotRun tells it of this attempt; recorded is set for work of which
// attempts are recorded under an identifier that the caller chose.
func NotRun(attemptNotRun, recorded bool, earlier Earlier) bool {
	return attemptNotRun && (!recorded || earlier == EarlierNone)
}
