package jobrecord

import (
	"encoding/json"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// savesRecord is the value of the record that changes with each save.
type savesRecord struct {
	// Starts has the starts that may be carried out late. Earlier versions of this
	// program did not record them.
	Starts []startRecord `json:"starts"`
}

type startRecord struct {
	Task     string `json:"t"`
	Attempt  int    `json:"a"`
	Executor string `json:"e"`
	Repeated bool   `json:"r,omitempty"`
	LeftMs   int64  `json:"l"`
}

// maxSavesBytes bounds the record of the saves, whose executors may have long names.
const maxSavesBytes = 60_000

// EncodeSaves encodes the record that changes with each save, and returns how many of the
// starts in doubt have found room, the first ones.
func EncodeSaves(starts []poolplan.StartInDoubt) (value []byte, recorded int, err error) {
	for recorded = len(starts); ; recorded /= 2 {
		record := savesRecord{Starts: make([]startRecord, 0, recorded)}
		for _, s := range starts[:recorded] {
			record.Starts = append(record.Starts, startRecord{s.Task.String(), s.Attempt, s.Executor, s.Repeated, s.Left.Milliseconds()})
		}
		value, err = json.Marshal(record)
		if err != nil || len(value) <= maxSavesBytes || recorded == 0 {
			return value, recorded, err
		}
	}
}

// DecodeSaves decodes the starts in doubt. known is false if an earlier version of this
// program has written the record. A start that is out of range makes the record invalid.
func DecodeSaves(value []byte) (starts []poolplan.StartInDoubt, known bool, err error) {
	var record savesRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, false, ErrRecord.New("saves: %w", err)
	}
	for _, s := range record.Starts {
		task, err := workload.ParseTaskID(s.Task)
		if err != nil {
			return nil, false, ErrRecord.New("saves: start of %q: %w", s.Task, err)
		}
		left := time.Duration(s.LeftMs) * time.Millisecond
		if s.Attempt < 1 || s.Executor == "" || s.LeftMs < 0 || s.LeftMs > poolplan.MaxOrderLateness.Milliseconds() {
			return nil, false, ErrRecord.New("saves: start of %q: attempt %d, executor %q, %d ms left", s.Task, s.Attempt, s.Executor, s.LeftMs)
		}
		starts = append(starts, poolplan.StartInDoubt{Task: task, Attempt: s.Attempt, Executor: s.Executor, Repeated: s.Repeated, Left: left})
	}
	return starts, record.Starts != nil, nil
}
