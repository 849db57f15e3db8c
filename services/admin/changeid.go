package admin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// digestBytes is the length of the digest in the identifier of a change.
const digestBytes = 16

// recordedChangeID returns the identifier under which a change is recorded: the
// submitter's, followed by a digest of the change's content. Without the digest,
// another change under the same identifier would be taken for a repeat, and the
// submitter would be told that a change took effect which never did.
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

// applyChangeID returns the identifier under which a call of Apply is recorded.
// The digest omits the revisions on which the change is based: a repeat may name
// later ones if the submitter has read them again.
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
