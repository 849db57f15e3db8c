package jobrecord

import (
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
)

// SummaryRecord is the summary of a pool in its OwnerRecord. Versions of this program
// that do not know it leave it out.
type SummaryRecord struct {
	// AgeMs is the age of the summary when the record was written.
	AgeMs        int64        `json:"age"`
	UsedMilliCPU int64        `json:"used,omitempty"`
	FreeMilliCPU int64        `json:"free,omitempty"`
	Running      AmountRecord `json:"run,omitzero"`
	// Preferred, Other and Beyond have amounts by priority.
	Preferred       map[int]AmountRecord            `json:"pref,omitempty"`
	Other           map[int]AmountRecord            `json:"other,omitempty"`
	Beyond          map[string]map[int]AmountRecord `json:"beyond,omitempty"`
	ShareSpent      []string                        `json:"spent,omitempty"`
	LogMeans        map[string]float64              `json:"means,omitempty"`
	StandbyMilliCPU int64                           `json:"standby,omitempty"`
}

// logMeanScale keeps three digits of the logarithms, which is a thousandth of a duration.
const logMeanScale = 1000

// AmountRecord is an amount of work in milliseconds of one core, and its tasks.
type AmountRecord struct {
	CoreMs int64 `json:"w"`
	Tasks  int   `json:"n"`
}

// NewSummaryRecord encodes a summary of an age; nil if there is none.
func NewSummaryRecord(s *waitestimate.Summary, age time.Duration) *SummaryRecord {
	if s == nil {
		return nil
	}
	record := &SummaryRecord{
		AgeMs: age.Milliseconds(), UsedMilliCPU: s.UsedMilliCPU, FreeMilliCPU: s.FreeMilliCPU, StandbyMilliCPU: s.StandbyMilliCPU,
		Running: newAmount(s.Running), Preferred: newAmounts(s.Preferred), Other: newAmounts(s.Other),
	}
	for tenant, work := range s.Beyond {
		if record.Beyond == nil {
			record.Beyond = make(map[string]map[int]AmountRecord)
		}
		record.Beyond[tenant] = newAmounts(work)
	}
	for tenant, spent := range s.ShareSpent {
		if spent {
			record.ShareSpent = append(record.ShareSpent, tenant)
		}
	}
	slices.Sort(record.ShareSpent)
	for queue, d := range s.Durations {
		if !d.Learned {
			continue
		}
		if record.LogMeans == nil {
			record.LogMeans = make(map[string]float64)
		}
		record.LogMeans[queue] = math.Round(d.LogMean*logMeanScale) / logMeanScale
	}
	return record
}

// Summary decodes the record, which was read at a time. It returns nil if there is none
// or its values are not possible.
func (r *SummaryRecord) Summary(readAt time.Time) *waitestimate.Summary {
	if r == nil || r.AgeMs < 0 {
		return nil
	}
	s := &waitestimate.Summary{
		At: readAt.Add(-time.Duration(r.AgeMs) * time.Millisecond), UsedMilliCPU: r.UsedMilliCPU, FreeMilliCPU: r.FreeMilliCPU, StandbyMilliCPU: r.StandbyMilliCPU,
		Running: r.Running.amount(), Preferred: workOf(r.Preferred), Other: workOf(r.Other),
		Beyond: make(map[string]waitestimate.Work), ShareSpent: make(map[string]bool), Durations: make(map[string]waitestimate.Durations),
	}
	for tenant, amounts := range r.Beyond {
		s.Beyond[tenant] = workOf(amounts)
	}
	for _, tenant := range r.ShareSpent {
		s.ShareSpent[tenant] = true
	}
	for queue, mean := range r.LogMeans {
		s.Durations[queue] = waitestimate.Durations{LogMean: mean, Learned: true}
	}
	if !s.Valid() {
		return nil
	}
	return s
}

func newAmount(a waitestimate.Amount) AmountRecord { return AmountRecord{int64(a.CoreMs), a.Tasks} }

func (r AmountRecord) amount() waitestimate.Amount {
	return waitestimate.Amount{CoreMs: float64(r.CoreMs), Tasks: r.Tasks}
}

func newAmounts(w waitestimate.Work) map[int]AmountRecord {
	amounts := make(map[int]AmountRecord, len(w))
	for priority, a := range w {
		amounts[priority] = newAmount(a)
	}
	return amounts
}

func workOf(amounts map[int]AmountRecord) waitestimate.Work {
	w := make(waitestimate.Work, len(amounts))
	for priority, a := range amounts {
		w[priority] = a.amount()
	}
	return w
}

// RefusalRecord says that a job was refused. It keeps writes of earlier submissions from
// taking effect after the refusal.
type RefusalRecord struct {
	// FirstMs is when the job was first refused, in Unix milliseconds.
	FirstMs int64 `json:"first"`
	// Count is how often it was refused.
	Count int `json:"n"`
}
