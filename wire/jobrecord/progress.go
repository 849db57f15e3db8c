package jobrecord

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

type progressRecord struct {
	State    int              `json:"s"`
	Done     map[string][]int `json:"d,omitempty"`
	Failures map[string][]int `json:"f,omitempty"`
	Unknown  map[string][]int `json:"u,omitempty"`
	// FailureCounts has the failures of tasks of which not all are listed.
	FailureCounts  map[string]int `json:"c,omitempty"`
	HighestAttempt int            `json:"a,omitempty"`
	EndedAt        int64          `json:"e,omitempty"`
	// Divided is set if the record has the tasks of one part only. Earlier versions
	// of this program recorded all tasks together.
	Divided bool `json:"p,omitempty"`
}

// Bounds on the size in bytes of an encoded part: bytesPerDone for each task that is
// done, bytesPerFailure for each that has failed, and bytesPerPart.
const (
	bytesPerDone    = 23
	bytesPerFailure = 210
	bytesPerPart    = 150
)

// EncodeProgress encodes a part of the progress of a job.
func EncodeProgress(p *workload.Progress) ([]byte, error) {
	record := progressRecord{State: int(p.State), HighestAttempt: p.HighestAttempt}
	if p.State.Ended() {
		record.EndedAt = p.EndedAt.UnixMilli()
		return json.Marshal(record)
	}
	record.Divided = true
	record.Done, record.Unknown = indexesByStep(p.Done), indexesByStep(p.Unknown)
	record.Failures = make(map[string][]int, len(p.Failures))
	record.FailureCounts = make(map[string]int)
	for n, failures := range p.Failures {
		record.Failures[n.String()] = failures.Attempts
		if failures.Count > len(failures.Attempts) {
			record.FailureCounts[n.String()] = failures.Count
		}
	}
	return json.Marshal(record)
}

// indexesByStep groups tasks by their step.
func indexesByStep(names []workload.TaskName) map[string][]int {
	indexes := make(map[string][]int)
	for _, n := range names {
		step := stepName(n)
		indexes[step] = append(indexes[step], n.Index)
	}
	return indexes
}

// taskNames is the inverse of indexesByStep.
func taskNames(job string, indexes map[string][]int) ([]workload.TaskName, error) {
	var names []workload.TaskName
	for step, list := range indexes {
		n, err := workload.ParseTaskName(step + ".0")
		if err != nil {
			return nil, ErrRecord.New("decode progress of job %s: %v", job, err)
		}
		for _, i := range list {
			if i < 0 {
				return nil, ErrRecord.New("decode progress of job %s: task number %d is negative", job, i)
			}
			names = append(names, workload.TaskName{Occurrence: n.Occurrence, Step: n.Step, Index: i})
		}
	}
	return names, nil
}

func stepName(n workload.TaskName) string {
	name := n.String()
	return name[:strings.LastIndexByte(name, '.')]
}

// DecodeProgress is the inverse of EncodeProgress.
func DecodeProgress(id string, value []byte) (workload.Progress, error) {
	var record progressRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return workload.Progress{}, ErrRecord.New("decode progress of job %s: %v", id, err)
	}
	if !workload.State(record.State).Valid() {
		return workload.Progress{}, ErrRecord.New("decode progress of job %s: state %d is not known", id, record.State)
	}
	p := workload.Progress{State: workload.State(record.State), HighestAttempt: record.HighestAttempt, Failures: make(map[workload.TaskName]workload.Failures)}
	p.Undivided = !record.Divided && !p.State.Ended()
	if record.EndedAt > 0 {
		p.EndedAt = time.UnixMilli(record.EndedAt)
	}
	var err error
	if p.Done, err = taskNames(id, record.Done); err != nil {
		return workload.Progress{}, err
	}
	if p.Unknown, err = taskNames(id, record.Unknown); err != nil {
		return workload.Progress{}, err
	}
	for name, attempts := range record.Failures {
		n, err := workload.ParseTaskName(name)
		if err != nil {
			return workload.Progress{}, ErrRecord.New("decode progress of job %s: %v", id, err)
		}
		slices.Sort(attempts)
		p.Failures[n] = workload.Failures{Count: max(len(attempts), record.FailureCounts[name]), Attempts: attempts}
	}
	return p, nil
}
