package jobrecord

import (
	"encoding/json"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

type specRecord struct {
	Queue      string       `json:"q"`
	Origin     originRecord `json:"w"`
	Tenant     string       `json:"t,omitempty"`
	Text       string       `json:"x,omitempty"`
	Steps      []stepRecord `json:"s"`
	Times      int          `json:"n,omitempty"`
	StartAtMs  int64        `json:"a,omitempty"`
	IntervalMs int64        `json:"i,omitempty"`
	// IntervalExtraNs is the rest of the interval in nanoseconds, which programs that
	// know only whole milliseconds leave out.
	IntervalExtraNs int64 `json:"j,omitempty"`
	// SilentOwner is the version of an owner record.
	SilentOwner int64 `json:"o,omitempty"`
	AcceptedMs  int64 `json:"r"`
	// Ended is set if the job has ended, and the text is left out.
	Ended bool `json:"z,omitempty"`
	// ExpectedEndMs is when the job was expected to end, after AcceptedMs.
	ExpectedEndMs int64 `json:"e,omitempty"`
}

// originRecord has the place and the terms of the queue that accepted a job.
type originRecord struct {
	Host            string        `json:"h,omitempty"`
	PathPrefix      string        `json:"p,omitempty"`
	Priority        int           `json:"y,omitempty"`
	MaxAttempts     int           `json:"m,omitempty"`
	SlackFactor     float64       `json:"k,omitempty"`
	LatencyTargetMs int64         `json:"l,omitempty"`
	Advice          *adviceRecord `json:"a,omitempty"`
}

type adviceRecord struct {
	DecisionMs        int64 `json:"d"`
	TimePerExecutorMs int64 `json:"e"`
	ValidityMs        int64 `json:"v"`
}

// Terms of jobs that were recorded without any, by earlier versions of this program.
const (
	unrecordedMaxAttempts   = 1
	unrecordedSlackFactor   = 1.5
	unrecordedLatencyTarget = time.Second
)

func encodeOrigin(o *catalog.Origin) originRecord {
	record := originRecord{
		Host: o.Host, PathPrefix: o.PathPrefix, Priority: o.Priority, MaxAttempts: o.MaxAttempts,
		SlackFactor: o.SlackFactor, LatencyTargetMs: o.LatencyTarget.Milliseconds(),
	}
	if o.Advice != nil {
		record.Advice = &adviceRecord{o.Advice.DecisionTime.Milliseconds(), o.Advice.TimePerExecutor.Milliseconds(), o.Advice.Validity.Milliseconds()}
	}
	return record
}

func (r *originRecord) origin(name string) catalog.Origin {
	o := catalog.Origin{Name: name, Place: catalog.Place{Host: r.Host, PathPrefix: r.PathPrefix}}
	if *r == (originRecord{}) {
		o.Terms = catalog.Terms{MaxAttempts: unrecordedMaxAttempts, SlackFactor: unrecordedSlackFactor, LatencyTarget: unrecordedLatencyTarget}
		return o
	}
	o.Terms = catalog.Terms{
		Priority: r.Priority, MaxAttempts: r.MaxAttempts, SlackFactor: r.SlackFactor,
		LatencyTarget: time.Duration(r.LatencyTargetMs) * time.Millisecond,
	}
	if a := r.Advice; a != nil {
		o.Advice = &catalog.Advice{
			DecisionTime: time.Duration(a.DecisionMs) * time.Millisecond, TimePerExecutor: time.Duration(a.TimePerExecutorMs) * time.Millisecond,
			Validity: time.Duration(a.ValidityMs) * time.Millisecond,
		}
	}
	return o
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
	BestEffort     bool            `json:"f,omitempty"`
	MaxUnavailable int             `json:"u,omitempty"`
}

// EncodeSpec encodes the specification of a job.
func EncodeSpec(spec *workload.Spec) ([]byte, error) { return json.Marshal(newSpecRecord(spec)) }

// EncodeEndedSpec encodes what is kept of the specification of a job that has ended.
func EncodeEndedSpec(spec *workload.Spec) ([]byte, error) {
	record := newSpecRecord(spec)
	record.Ended, record.Text = true, ""
	return json.Marshal(record)
}

func newSpecRecord(spec *workload.Spec) specRecord {
	record := specRecord{
		Queue: spec.Queue.Name, Origin: encodeOrigin(&spec.Queue), Tenant: spec.Tenant, Text: spec.Text, Times: spec.Times, SilentOwner: spec.SilentOwner,
		IntervalMs: spec.Interval.Milliseconds(), IntervalExtraNs: int64(spec.Interval % time.Millisecond), AcceptedMs: spec.AcceptedAt.UnixMilli(),
		ExpectedEndMs: spec.ExpectedEnd.Milliseconds(),
	}
	if spec.Times > 0 {
		record.StartAtMs = spec.StartAt.UnixMilli()
	}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		record.Steps = append(record.Steps, stepRecord{
			Count: step.Count, Size: step.Size, EstimateMs: step.Estimate.Milliseconds(), After: step.After, Gang: step.Gang,
			OneRack: step.OneRack, Label: step.Label, DataRack: step.DataRack, MaxPerExecutor: step.MaxPerExecutor,
			Checkpoints: step.Checkpoints, Speculative: step.Speculative, Service: step.Service, Image: step.Image,
			TargetMs: step.LatencyTarget.Milliseconds(), BestEffort: step.BestEffort, MaxUnavailable: step.MaxUnavailable,
		})
	}
	return record
}

// DecodeSpec is the inverse of EncodeSpec and EncodeEndedSpec.
func DecodeSpec(id string, value []byte) (*workload.Spec, error) {
	var record specRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, ErrRecord.New("decode job %s: %v", id, err)
	}
	spec := &workload.Spec{
		ID: id, Ended: record.Ended, Queue: record.Origin.origin(record.Queue), Tenant: record.Tenant, Text: record.Text, Times: record.Times, SilentOwner: record.SilentOwner,
		Interval: time.Duration(record.IntervalMs)*time.Millisecond + time.Duration(record.IntervalExtraNs), AcceptedAt: time.UnixMilli(record.AcceptedMs),
		ExpectedEnd: time.Duration(record.ExpectedEndMs) * time.Millisecond,
	}
	if record.Times > 0 {
		spec.StartAt = time.UnixMilli(record.StartAtMs)
	}
	for i := range record.Steps {
		step := &record.Steps[i]
		if step.Count < 1 {
			return nil, ErrRecord.New("decode job %s: step %d has %d tasks", id, i, step.Count)
		}
		spec.Steps = append(spec.Steps, workload.Step{
			Count: step.Count, Size: step.Size, Estimate: time.Duration(step.EstimateMs) * time.Millisecond, After: step.After, Gang: step.Gang,
			OneRack: step.OneRack, Label: step.Label, DataRack: step.DataRack, MaxPerExecutor: step.MaxPerExecutor,
			Checkpoints: step.Checkpoints, Speculative: step.Speculative, Service: step.Service, Image: step.Image,
			LatencyTarget: time.Duration(step.TargetMs) * time.Millisecond, BestEffort: step.BestEffort, MaxUnavailable: step.MaxUnavailable,
		})
	}
	return spec, nil
}
