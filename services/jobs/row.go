package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// Prefixes of row keys and object names. Names within a key are escaped, so
// that a slash in a name cannot reach into another prefix.
const (
	jobPrefix      = "job/"
	openPrefix     = "openjob/"
	endedPrefix    = "endedjob/"
	schedulePrefix = "schedule/"
	payloadPrefix  = "job-payload/"
	resultPrefix   = "job-result/"
)

// endedTimeLayout is the form of times in the index of ended jobs; its order as
// text is the order in time.
const endedTimeLayout = "20060102T150405"

// maxRowPayloadBytes is the largest payload that is kept in the job's row; larger
// ones go to the object store.
const maxRowPayloadBytes = 16 << 10

// row is what the platform keeps of a job.
type row struct {
	job.Record
	Declared      fleet.Resources `json:"declared"`
	DeclaredRun   time.Duration   `json:"declaredRun"`
	Payload       []byte          `json:"payload,omitempty"`
	PayloadObject string          `json:"payloadObject,omitempty"`
	ResultObject  string          `json:"resultObject,omitempty"`
	// Submitted is the submitter's wall clock; it orders waiting jobs.
	Submitted time.Time `json:"submitted"`
	// EndedAt is the wall clock of the host that ended the job; it is used only
	// to delete the row long after.
	EndedAt time.Time `json:"endedAt,omitzero"`
}

// openRow is the index entry of a job that has not ended. The entry is
// rewritten when a cancellation is requested, so that the scheduler sees it
// without reading the job's row.
type openRow struct {
	Canceled bool `json:"cancelled,omitempty"`
}

// scheduleRow is the lease on scheduling a queue.
type scheduleRow struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Renewal     uint64 `json:"renewal"`
}

func jobName(team, id string) string { return url.PathEscape(team) + "/" + url.PathEscape(id) }

func jobKey(name string) string { return jobPrefix + name }

func openQueuePrefix(queue string) string { return openPrefix + url.PathEscape(queue) + "/" }

func openKey(queue, name string) string { return openQueuePrefix(queue) + name }

func scheduleKey(queue string) string { return schedulePrefix + url.PathEscape(queue) }

// encode marshals rows, which hold nothing that can fail to marshal.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func specHash(spec services.JobSpec) string {
	sum := sha256.Sum256(encode(spec))
	return hex.EncodeToString(sum[:])
}

func (r *row) name() string { return jobName(r.Team, r.ID) }

func (r *row) status() services.JobStatus {
	return services.JobStatus{
		ID:      r.ID,
		Team:    r.Team,
		Queue:   r.Queue,
		State:   string(r.State),
		Reason:  string(r.Reason),
		Worker:  r.Worker,
		Attempt: r.Attempt,
	}
}

// withEndedAt records when the job ended, if the change from before ended it.
func (r row) withEndedAt(before *row, now time.Time) row {
	if r.Ended() && !before.Ended() {
		r.EndedAt = now
	}
	return r
}

// updateTransaction returns the transaction that replaces a row of the given version. An
// ended job moves from the index of open jobs to that of ended ones; a
// cancellation that is requested is marked in the former.
func updateTransaction(before, after *row, version uint64) services.Transaction {
	key := jobKey(after.name())
	tx := services.Transaction{
		Conditions: []services.Condition{{Key: key, Version: version}},
		Writes:     []services.Write{{Key: key, Value: encode(after)}},
	}
	index := openKey(after.Queue, after.name())
	switch {
	case after.Ended():
		tx.Writes = append(tx.Writes,
			services.Write{Key: index, Delete: true},
			services.Write{Key: endedKey(after), Value: encode(openRow{})})
	case after.CancelRequested && !before.CancelRequested:
		tx.Writes = append(tx.Writes, services.Write{Key: index, Value: encode(openRow{Canceled: true})})
	}
	return tx
}
