package workload

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// ErrTaskName is the class of errors for names of tasks that cannot be parsed.
var ErrTaskName = errs.Class("task name")

// TaskName identifies a task within its job.
type TaskName struct {
	Occurrence, Step, Index int
}

// TaskID identifies a task.
type TaskID struct {
	Job string
	TaskName
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.Job + "." + t.TaskName.String() }

// String returns OCCURRENCE.STEP.INDEX.
func (t TaskName) String() string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(t.Occurrence), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Step), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	return string(b)
}

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	job, name, ok := strings.Cut(s, ".")
	if !ok || job == "" {
		return TaskID{}, ErrTaskName.New("%q has no job", s)
	}
	t, err := ParseTaskName(name)
	return TaskID{Job: job, TaskName: t}, err
}

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(s string) (TaskName, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return TaskName{}, ErrTaskName.New("%q has not three numbers", s)
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskName{}, ErrTaskName.New("%q in %q is not a number", p, s)
		}
		n[i] = v
	}
	return TaskName{Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
