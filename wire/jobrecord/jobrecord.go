// Package jobrecord defines how jobs, their progress and the state of pools are
// kept in the platform's store: tables, keys and encodings.
//
// What only a pool's owner writes shares the part that is named after the pool,
// so that it can change in one transaction with the proof of ownership. Jobs and
// cancellations, which every host writes, and the status of the pool are in parts
// of their own: the store carries out the transactions of one part one after
// another, and a slow store takes half a second for each.
package jobrecord

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// ErrRecord is the class of errors for records that cannot be read.
var ErrRecord = errs.Class("record")

// Tables.
const (
	tableJobsPrefix = "jobs."
	TableProgress   = "progress"
	TableOwners     = "owners"
	TablePools      = "pools"
	TableLimits     = "limits"
	// PartLimits is the one part of TableLimits; its keys are tenants.
	PartLimits = "limits"
)

// Keys of a pool's part.
const (
	keyOwner     = "owner"
	keyTerm      = "term"
	keyExecutors = "executors"
	// prefixExecutors is followed by a number.
	prefixExecutors  = "executors/"
	keyStatus        = "status"
	suffixStatusPart = "/status"
	keyCordons       = "cordons"
	prefixWave       = "wave/"
	keyPoolSizes     = "homes"
	keyOrders        = "orders"
	keySaves         = "saves"

	suffixJob      = "/job"
	suffixCancel   = "/cancel"
	suffixProgress = "/progress"
	// suffixEnd is the byte after the slash of the suffixes.
	suffixEnd = "0"
)

// TableJobs returns the table of a pool's jobs. Each pool has its own, because
// the store's list of changes can only be asked for by table.
func TableJobs(pool string) string { return tableJobsPrefix + pool }

// jobPartCount is the number of parts over which the jobs of a pool are spread. A
// store that is slow carries out two transactions of a part in a second, and the
// queues of a pool bring 45 jobs in a second while it is their turn.
const jobPartCount = 64

// jobPart returns the part that holds a job.
func jobPart(pool, id string) string {
	return numberedPart(pool, int(xxhash.Sum64String(id)%jobPartCount))
}

func numberedPart(pool string, n int) string { return pool + "/" + strconv.Itoa(n) }

// JobParts returns the parts that hold the jobs of a pool.
func JobParts(pool string) []string {
	parts := make([]string, 0, jobPartCount)
	for n := range jobPartCount {
		parts = append(parts, numberedPart(pool, n))
	}
	return parts
}

// OwnerRange selects the records that only a pool's owner and the owner of the
// machines write, in the table of the pool's jobs.
func OwnerRange(pool string) services.RecordRange {
	return services.RecordRange{Table: TableJobs(pool), Part: pool}
}

// JobKey is the key of a job.
func JobKey(pool, id string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: jobPart(pool, id), Key: id + suffixJob}
}

// CancelKey is the key of a job's cancellation.
func CancelKey(pool, id string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: jobPart(pool, id), Key: id + suffixCancel}
}

// ProgressKey is the key of a job's progress.
func ProgressKey(pool, id string) services.RecordKey {
	return services.RecordKey{Table: TableProgress, Part: pool, Key: id + suffixProgress}
}

// SavesKey is the key of a record that changes with each save of the pool's
// progress. Each save requires its version, because the store may carry out a
// save that it left unanswered after a later one.
func SavesKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableProgress, Part: pool, Key: keySaves}
}

// ProgressRange selects a job's progress.
func ProgressRange(pool, id string) services.RecordRange {
	return services.RecordRange{Table: TableProgress, Part: pool, From: id + "/", To: id + suffixEnd}
}

// JobRange selects a job and its cancellation.
func JobRange(pool, id string) services.RecordRange {
	return services.RecordRange{Table: TableJobs(pool), Part: jobPart(pool, id), From: id + "/", To: id + suffixEnd}
}

// OwnerKey is the key of a pool's owner.
func OwnerKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableOwners, Part: pool, Key: keyOwner}
}

// TermKey is the key of the record that changes only when the owner does. It is in
// the table of the pool's jobs, so that an owner that follows these sees its
// successor's claim before any job that was recorded after it.
func TermKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: pool, Key: keyTerm}
}

// ExecutorsKey is the key of a record that changes with each change of the executors
// that owners of the pool have used. Each change requires its version, as with
// Saves.
func ExecutorsKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: pool, Key: keyExecutors}
}

// executorShardKey is the key of one record of these executors.
func executorShardKey(pool string, n int) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: pool, Key: prefixExecutors + strconv.Itoa(n)}
}

// IsExecutorShard reports whether a record is one of EncodeExecutors.
func IsExecutorShard(key services.RecordKey) bool {
	return key.Table == TablePools && strings.HasPrefix(key.Key, prefixExecutors)
}

// StatusKey is the key of what the owner publishes of its pool.
func StatusKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: pool + suffixStatusPart, Key: keyStatus}
}

// CordonsKey is the key of the machines that the owner of the pool has to empty. It
// is in the table that the owner follows.
func CordonsKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: pool, Key: keyCordons}
}

// WaveKey is the key of the progress of a wave of maintenance.
func WaveKey(number int) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: prefixWave + strconv.Itoa(number)}
}

// LimitKey is the key of the division of a tenant's maximum.
func LimitKey(tenant string) services.RecordKey {
	return services.RecordKey{Table: TableLimits, Part: PartLimits, Key: tenant}
}

// PoolSizesKey is the key of the usual numbers of machines of the pools.
func PoolSizesKey() services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: keyPoolSizes}
}

// OrdersKey is the key of the machines that were ordered away a short time ago.
func OrdersKey() services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: keyOrders}
}

// RecordKind tells what a record in the tables of jobs and progress holds.
type RecordKind int

// Kinds of records.
const (
	KindOther RecordKind = iota
	KindJob
	KindCancel
	KindProgress
)

// ParseKey splits a key into the job's identifier and the kind.
func ParseKey(key string) (id string, kind RecordKind) {
	if id, ok := strings.CutSuffix(key, suffixJob); ok {
		return id, KindJob
	}
	if id, ok := strings.CutSuffix(key, suffixCancel); ok {
		return id, KindCancel
	}
	if id, ok := strings.CutSuffix(key, suffixProgress); ok {
		return id, KindProgress
	}
	return "", KindOther
}

type specRecord struct {
	Queue      string       `json:"q"`
	Tenant     string       `json:"t,omitempty"`
	Text       string       `json:"x,omitempty"`
	Steps      []stepRecord `json:"s"`
	Times      int          `json:"n,omitempty"`
	StartAtMs  int64        `json:"a,omitempty"`
	IntervalMs int64        `json:"i,omitempty"`
	// SilentOwner is a version of the owner record.
	SilentOwner int64 `json:"o,omitempty"`
	AcceptedMs  int64 `json:"r"`
}

type stepRecord struct {
	Count          int             `json:"n"`
	Size           fleet.Resources `json:"z"`
	EstimateMs     int64           `json:"e,omitempty"`
	After          []int           `json:"a,omitempty"`
	Gang           bool            `json:"g,omitempty"`
	OneRack        bool            `json:"o,omitempty"`
	Label          string          `json:"l,omitempty"`
	DataRack       string          `json:"d,omitempty"`
	MaxPerExecutor int             `json:"p,omitempty"`
	Checkpoints    bool            `json:"c,omitempty"`
	Speculative    bool            `json:"v,omitempty"`
	Service        bool            `json:"s,omitempty"`
	Image          string          `json:"i,omitempty"`
	TargetMs       int64           `json:"t,omitempty"`
	Filler         bool            `json:"f,omitempty"`
	MaxUnavailable int             `json:"u,omitempty"`
}

// EncodeSpec returns the value of a job's record.
func EncodeSpec(s *workload.Spec) ([]byte, error) {
	r := specRecord{
		Queue: s.Queue, Tenant: s.Tenant, Text: s.Text, Times: s.Times, SilentOwner: s.SilentOwner,
		IntervalMs: s.Interval.Milliseconds(), AcceptedMs: s.AcceptedAt.UnixMilli(),
	}
	if s.Times > 0 {
		r.StartAtMs = s.StartAt.UnixMilli()
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		r.Steps = append(r.Steps, stepRecord{
			Count: st.Count, Size: st.Size, EstimateMs: st.Estimate.Milliseconds(), After: st.After, Gang: st.Gang,
			OneRack: st.OneRack, Label: st.Label, DataRack: st.DataRack, MaxPerExecutor: st.MaxPerExecutor,
			Checkpoints: st.Checkpoints, Speculative: st.Speculative, Service: st.Service, Image: st.Image,
			TargetMs: st.LatencyTarget.Milliseconds(), Filler: st.Filler, MaxUnavailable: st.MaxUnavailable,
		})
	}
	return json.Marshal(r)
}

// DecodeSpec is the inverse of EncodeSpec.
func DecodeSpec(id string, value []byte) (*workload.Spec, error) {
	var r specRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, ErrRecord.New("job %s: %v", id, err)
	}
	s := &workload.Spec{
		ID: id, Queue: r.Queue, Tenant: r.Tenant, Text: r.Text, Times: r.Times, SilentOwner: r.SilentOwner,
		Interval: time.Duration(r.IntervalMs) * time.Millisecond, AcceptedAt: time.UnixMilli(r.AcceptedMs),
	}
	if r.Times > 0 {
		s.StartAt = time.UnixMilli(r.StartAtMs)
	}
	for i := range r.Steps {
		st := &r.Steps[i]
		s.Steps = append(s.Steps, workload.Step{
			Count: st.Count, Size: st.Size, Estimate: time.Duration(st.EstimateMs) * time.Millisecond, After: st.After, Gang: st.Gang,
			OneRack: st.OneRack, Label: st.Label, DataRack: st.DataRack, MaxPerExecutor: st.MaxPerExecutor,
			Checkpoints: st.Checkpoints, Speculative: st.Speculative, Service: st.Service, Image: st.Image,
			LatencyTarget: time.Duration(st.TargetMs) * time.Millisecond, Filler: st.Filler, MaxUnavailable: st.MaxUnavailable,
		})
	}
	return s, nil
}

type progressRecord struct {
	State    int              `json:"s"`
	Done     map[string][]int `json:"d,omitempty"`
	Failures map[string][]int `json:"f,omitempty"`
	Attempts int              `json:"a,omitempty"`
	EndedAt  int64            `json:"e,omitempty"`
}

// EncodeProgress returns the value of a job's progress. What tasks have done is
// left out once the job has ended.
func EncodeProgress(p *workload.Progress) ([]byte, error) {
	r := progressRecord{State: int(p.State), Attempts: p.HighestAttempt}
	if p.State.Ended() {
		r.EndedAt = p.EndedAt.UnixMilli()
		return json.Marshal(r)
	}
	r.Done = make(map[string][]int)
	for _, n := range p.Done {
		step := stepName(n)
		r.Done[step] = append(r.Done[step], n.Index)
	}
	r.Failures = make(map[string][]int, len(p.Failures))
	for n, failures := range p.Failures {
		r.Failures[n.String()] = failures
	}
	return json.Marshal(r)
}

func stepName(n workload.TaskName) string {
	name := n.String()
	return name[:strings.LastIndexByte(name, '.')]
}

// DecodeProgress is the inverse of EncodeProgress.
func DecodeProgress(id string, value []byte) (workload.Progress, error) {
	var r progressRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return workload.Progress{}, ErrRecord.New("progress of %s: %v", id, err)
	}
	p := workload.Progress{State: workload.State(r.State), HighestAttempt: r.Attempts, Failures: make(map[workload.TaskName][]int)}
	if r.EndedAt > 0 {
		p.EndedAt = time.UnixMilli(r.EndedAt)
	}
	for step, indexes := range r.Done {
		n, err := workload.ParseTaskName(step + ".0")
		if err != nil {
			return workload.Progress{}, ErrRecord.New("progress of %s: %v", id, err)
		}
		for _, i := range indexes {
			p.Done = append(p.Done, workload.TaskName{Occurrence: n.Occurrence, Step: n.Step, Index: i})
		}
	}
	for name, failures := range r.Failures {
		n, err := workload.ParseTaskName(name)
		if err != nil {
			return workload.Progress{}, ErrRecord.New("progress of %s: %v", id, err)
		}
		p.Failures[n] = failures
	}
	return p, nil
}
