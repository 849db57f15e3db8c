package admin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// digestBytes is the length of the digest in the identity of a change.
const digestBytes = 16

// recordedChangeID returns the identifier under which a change is recorded: the
// submitter's, and a digest of what the change does. An identifier that is
// used again for another change is thus not taken for a repeat, after which
// the submitter would be told that a change took effect which never did.
func recordedChangeID(changeID string, content ...string) string {
	h := sha256.New()
	for _, c := range content {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(c)))
		h.Write(length[:])
		h.Write([]byte(c))
	}
	return changeID + "/" + hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// applyChangeID leaves out the revisions that the change was made from: a
// repeat may name later ones, when the submitter has read them anew.
func applyChangeID(msg *wirev1.ApplyRequest) string {
	var content []string
	for _, c := range msg.Changes {
		action := "set"
		if c.Delete {
			action = "delete"
		}
		content = append(content, action, c.Name, c.Yaml)
	}
	return recordedChangeID(msg.ChangeId, content...)
}
