// Package keyring decides whether a presented key admits work to a queue or
// an operator to a section.
//
// A key is presented as "ff.<holder>.<key id>.<secret>", where the holder is a
// team or an operator. Secrets have 256 random bits, so one round of salted
// SHA-256 is enough to store them.
package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

const keyPrefix = "ff"

// PresentedKey is a key as it came with a request. It must not be logged.
type PresentedKey struct {
	Holder string
	ID     string
	Secret string
}

// Parse splits a presented key. ok is false when it is not of the right form.
func Parse(s string) (p PresentedKey, ok bool) {
	fields := strings.Split(s, ".")
	if len(fields) != 4 || fields[0] != keyPrefix {
		return PresentedKey{}, false
	}
	return PresentedKey{Holder: fields[1], ID: fields[2], Secret: fields[3]}, true
}

// Format returns the form in which p is presented.
func (p PresentedKey) Format() string {
	return strings.Join([]string{keyPrefix, p.Holder, p.ID, p.Secret}, ".")
}

// StoredForm returns the form in which p is kept, with salt in lower-case
// hexadecimal.
func (p PresentedKey) StoredForm(salt string) document.Key {
	return document.Key{ID: p.ID, Salt: salt, Hash: hashSecret(salt, p.Secret)}
}

func hashSecret(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + secret))
	return hex.EncodeToString(sum[:])
}

// matches compares in constant time, so that response times do not reveal how
// much of a key is right.
func matches(k document.Key, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hashSecret(k.Salt, secret))) == 1
}

// Admission is the outcome of Admit.
type Admission struct {
	// RefusalReason is empty when the work is admitted.
	RefusalReason fault.Reason
	Team          string
}

// Admit decides whether the key presented (empty for none) admits work to q.
// Open queues admit all work, and still refuse a key that is wrong, so that a
// caller learns of its mistake.
func Admit(team document.Team, q document.Queue, presented string) Admission {
	if presented == "" {
		if q.Open {
			return Admission{Team: q.Team}
		}
		return Admission{RefusalReason: fault.ReasonNoKey}
	}
	p, ok := Parse(presented)
	if !ok {
		return Admission{RefusalReason: fault.ReasonWrongKey}
	}
	if p.Holder != q.Team {
		return Admission{RefusalReason: fault.ReasonWrongTeam}
	}
	return Admission{Team: q.Team, RefusalReason: checkKey(team.Keys, p)}
}

// checkKey returns the reason why p is refused by keys, or none.
func checkKey(keys []document.Key, p PresentedKey) fault.Reason {
	for _, k := range keys {
		if k.ID != p.ID || !matches(k, p.Secret) {
			continue
		}
		if k.Withdrawn {
			return fault.ReasonWithdrawnKey
		}
		return ""
	}
	return fault.ReasonWrongKey
}

// AuthenticateOperator returns the operator that presented a key of the operators'
// section.
func AuthenticateOperator(operators []document.Operator, presented string) (document.Operator, fault.Reason) {
	p, ok := Parse(presented)
	if !ok {
		return document.Operator{}, fault.ReasonNoKey
	}
	for _, o := range operators {
		if o.Name != p.Holder {
			continue
		}
		if reason := checkKey([]document.Key{o.Key}, p); reason != "" {
			return document.Operator{}, reason
		}
		return o, ""
	}
	return document.Operator{}, fault.ReasonWrongKey
}

// MayChange reports whether o's patterns cover a section.
func MayChange(o document.Operator, section string) bool { return o.Covers(section) }
