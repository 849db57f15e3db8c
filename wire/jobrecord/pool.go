package jobrecord

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// OwnerRecord identifies the process that owns a pool.
type OwnerRecord struct {
	// CPUShare is the processor share of the holder, in cores.
	CPUShare float64 `json:"power,omitempty"`
	// Holder is the name of the host; Incarnation distinguishes its processes.
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	Term        int    `json:"term"`
	// Renewals is incremented by each renewal, so that the record's value
	// changes.
	Renewals int64 `json:"renewals"`
	// SharedParts is set by owners that read the jobs in JobParts. Earlier versions of
	// this program recorded jobs in PoolJobParts only.
	SharedParts bool `json:"sharedParts,omitempty"`
	// PoolParts is set if jobs may be in PoolJobParts.
	PoolParts bool `json:"poolParts,omitempty"`
	// Released is true when the owner has given up the pool.
	Released bool `json:"released,omitempty"`
	// Summary is the pool's load, if the owner publishes it.
	Summary *SummaryRecord `json:"load,omitempty"`
}

// StatusRecord is the status that the owner of a pool publishes.
type StatusRecord struct {
	Term int `json:"term"`
	PendingRecord
	// MovedTo lists the services that have a MovedRecord of the pool.
	MovedTo []string `json:"movedTo,omitempty"`
	// StartedUnrecorded lists the jobs whose tasks have started but whose
	// progress is not recorded yet.
	StartedUnrecorded []string `json:"begun,omitempty"`
	// CordonsVersion is the version of the CordonRecord that the owner applies.
	// EmptyMachines lists the machines in that record on which nothing runs.
	CordonsVersion int64    `json:"cordons,omitempty"`
	EmptyMachines  []string `json:"empty,omitempty"`
	// DemandMilliCPU is the CPU demand of work that could run now, and
	// CapacityMilliCPU is the CPU capacity of the executors, both in
	// thousandths of a core.
	DemandMilliCPU   int64 `json:"demand"`
	CapacityMilliCPU int64 `json:"capacity"`
	// LateMilliCPU is the part of DemandMilliCPU of jobs that can only complete late.
	LateMilliCPU int64 `json:"lateDemand,omitempty"`
	// Machines is the use of each machine, by name.
	Machines map[string]MachineUse `json:"machines,omitempty"`
	// Tenants is what the tasks of each tenant use, by name.
	Tenants map[string]Amounts `json:"tenants,omitempty"`
	// Evacuations has the requests to evacuate a zone that the owner applies.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
}

// EvacuationStatus is what is left of a pool in an evacuated zone. Counts are those of
// poolplan.ZoneUse.
type EvacuationStatus struct {
	Zone string `json:"zone"`
	// Version is that of the operator's request.
	Version      int64 `json:"ver"`
	Tasks        int   `json:"tasks"`
	ServiceTasks int   `json:"services,omitempty"`
	WithoutRoom  int   `json:"withoutRoom,omitempty"`
	Silent       int   `json:"silent,omitempty"`
	Unsettled    int   `json:"unsettled,omitempty"`
}

// Amounts are resources in a record.
type Amounts struct {
	MilliCPU     int64 `json:"cpu,omitempty"`
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"gpu,omitempty"`
}

// NewAmounts returns resources as they are recorded. Memory is rounded up.
func NewAmounts(r fleet.Resources) Amounts {
	return Amounts{r.MilliCPU, (r.MemoryBytes + bytesPerMB - 1) / bytesPerMB, r.Accelerators}
}

// Resources returns the recorded resources.
func (a Amounts) Resources() fleet.Resources {
	return fleet.Resources{MilliCPU: a.MilliCPU, MemoryBytes: a.MemoryMB * bytesPerMB, Accelerators: a.Accelerators}
}

const bytesPerMB = 1 << 20

// PendingRecord has the jobs without a started task.
type PendingRecord struct {
	// Pending is their number, by the name of the queue that accepted them.
	Pending map[string]int `json:"pending"`
	// Places has the place of each of these queues, by which one that was renamed or
	// moved since is found.
	Places map[string]catalog.Place `json:"places,omitempty"`
}

// Add adds the jobs of a queue.
func (r *PendingRecord) Add(queue string, place catalog.Place, jobs int) {
	if r.Pending == nil {
		r.Pending = make(map[string]int)
	}
	if r.Places == nil {
		r.Places = make(map[string]catalog.Place)
	}
	r.Pending[queue] += jobs
	r.Places[queue] = place
}

// JobsOf returns the number of jobs whose queue is now the one of a name.
func (r *PendingRecord) JobsOf(c *catalog.Catalog, queue string) int {
	jobs := 0
	for name, n := range r.Pending {
		if q, ok := c.QueueOf(&catalog.Origin{Name: name, Place: r.Places[name]}); ok && q.Name == queue {
			jobs += n
		}
	}
	return jobs
}

// MovedRecord has the pending jobs of a pool whose queues another service serves now. It
// is among the status records of that service, so that a read of these has them.
type MovedRecord struct {
	Term int `json:"term"`
	PendingRecord
}

// MachineUse is how much of a machine is in use.
type MachineUse struct {
	MilliCPU int64 `json:"cpu"`
	Tasks    int   `json:"tasks"`
	Services int   `json:"services,omitempty"`
	MachineDetail
}

// MachineDetail is what explains why a machine is or is not chosen for a task. Owners
// that run an earlier version of this program do not publish it.
type MachineDetail struct {
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"gpu,omitempty"`
	// BestEffort and LatencyBound count the tasks of these kinds.
	BestEffort   int `json:"fills,omitempty"`
	LatencyBound int `json:"bound,omitempty"`
	// Reserved is kept for service tasks that are being relocated to the machine.
	Reserved *Amounts `json:"reserved,omitempty"`
	// Obstacle is why the owner starts no work there.
	Obstacle string `json:"obstacle,omitempty"`
}

// Add adds the use of an executor of the machine. For some seconds the registry may list
// two of them.
func (d *MachineDetail) Add(u *poolplan.ExecutorUse) {
	used := NewAmounts(u.Used)
	d.MemoryMB += used.MemoryMB
	d.Accelerators += used.Accelerators
	d.BestEffort += u.BestEffortTasks
	d.LatencyBound += u.LatencyBoundTasks
	d.Obstacle = max(d.Obstacle, string(u.Obstacle))
	if u.Reserved == (fleet.Resources{}) {
		return
	}
	reserved := u.Reserved
	if d.Reserved != nil {
		reserved = reserved.Add(d.Reserved.Resources())
	}
	amounts := NewAmounts(reserved)
	d.Reserved = &amounts
}

// ExecutorUse returns an executor of the machine with the use that is recorded.
func (m *MachineUse) ExecutorUse(e poolplan.Executor) poolplan.ExecutorUse {
	used := Amounts{m.MilliCPU, m.MemoryMB, m.Accelerators}
	u := poolplan.ExecutorUse{
		Executor: e, Used: used.Resources(), Obstacle: poolplan.Obstacle(m.Obstacle),
		ServiceTasks: m.Services, LatencyBoundTasks: m.LatencyBound, BestEffortTasks: m.BestEffort,
	}
	if m.Reserved != nil {
		u.Reserved = m.Reserved.Resources()
	}
	return u
}

// CordonRecord lists the machines that the owner of a pool must empty.
type CordonRecord struct {
	// Machines lists the machines that must not get any new work.
	Machines []string `json:"machines"`
	// EvictServices lists the machines from which service tasks should be moved.
	EvictServices []string `json:"leave,omitempty"`
}

// OrdersRecord lists the machines that were recently ordered to move or into
// maintenance. It is written before the orders are issued, so that the next owner
// of the machine management knows for which machines it must wait.
type OrdersRecord struct {
	Machines []string `json:"machines"`
}

// RotationRecord has the recent peaks of the pools' demand, the oldest first.
type RotationRecord struct {
	Peaks []PeakRecord `json:"peaks"`
}

// PeakRecord is one peak of the demand of a pool.
type PeakRecord struct {
	Pool string `json:"pool"`
	// StartMs is the start on the store's clock, in milliseconds.
	StartMs        int64 `json:"start"`
	HeightMilliCPU int64 `json:"height"`
}

// PoolSizesRecord is the nominal number of machines of each pool, that is, the
// number when the system started for the first time.
type PoolSizesRecord struct {
	Pools map[string]int `json:"pools"`
}

// WaveRecord is the progress of a maintenance wave.
type WaveRecord struct {
	// Done lists the machines whose maintenance has begun.
	Done      []string `json:"done"`
	Completed bool     `json:"completed,omitempty"`
	// FirstSeenMs is the time on the store's clock at which the first owner saw
	// the wave.
	FirstSeenMs int64 `json:"seen"`
}

type executorRecord struct {
	ID        string          `json:"id"`
	StartedMs int64           `json:"born,omitempty"`
	Machine   string          `json:"machine,omitempty"`
	Address   string          `json:"addr"`
	Zone      string          `json:"zone,omitempty"`
	Labels    []string        `json:"labels,omitempty"`
	Rack      string          `json:"rack,omitempty"`
	Capacity  fleet.Resources `json:"cap"`
	StaleAck  bool            `json:"stale_ack,omitempty"`
}

// executorShardCount is the number of records over which the used executors of a
// pool are spread. A record can hold 64 KiB, or about 300 executors. All records are
// written in one transaction of at most 1 MB, or about 3,500 executors. The intended
// size of a pool is 75.
const executorShardCount = 32

// maxExecutorsBytes bounds the values of all shards, which are written in one
// transaction. The message encodes them with a third more, and the store accepts 1 MB.
const maxExecutorsBytes = 735_000

// EncodeExecutors encodes the used executors of a pool, and returns those that the
// records hold. An executor for which there is no room is left out, so that it does not
// keep the others from being recorded. A shard without executors is deleted.
func EncodeExecutors(pool string, list []poolplan.Executor) ([]services.RecordWrite, []poolplan.Executor, error) {
	shards := make([][]json.RawMessage, executorShardCount)
	sizes := make([]int, executorShardCount)
	total := 0
	recorded := make([]poolplan.Executor, 0, len(list))
	for _, e := range list {
		value, err := json.Marshal(executorRecord{ID: e.ID, StartedMs: e.StartedMs, Machine: e.Machine, Address: e.Address, Zone: e.Zone, Labels: e.Labels, Rack: e.Rack, Capacity: e.Capacity, StaleAck: e.StaleAck})
		if err != nil {
			return nil, nil, ErrRecord.New("encode executor %s of pool %s: %v", e.ID, pool, err)
		}
		n := xxhash.Sum64String(e.ID) % executorShardCount
		// Each entry has a comma or a bracket beside it.
		size := len(value) + 2
		if sizes[n]+size > MaxRecordBytes || total+size > maxExecutorsBytes {
			continue
		}
		sizes[n] += size
		total += size
		shards[n] = append(shards[n], value)
		recorded = append(recorded, e)
	}
	writes := make([]services.RecordWrite, executorShardCount)
	for n, shard := range shards {
		writes[n] = services.RecordWrite{RecordKey: executorShardKey(pool, n), Delete: len(shard) == 0}
		if len(shard) == 0 {
			continue
		}
		var err error
		if writes[n].Value, err = json.Marshal(shard); err != nil {
			return nil, nil, ErrRecord.New("encode executors of pool %s: %v", pool, err)
		}
	}
	return writes, recorded, nil
}

// DecodeExecutors decodes one record made by EncodeExecutors.
func DecodeExecutors(value []byte) ([]poolplan.Executor, error) {
	var records []executorRecord
	if err := json.Unmarshal(value, &records); err != nil {
		return nil, ErrRecord.New("decode executors: %v", err)
	}
	list := make([]poolplan.Executor, 0, len(records))
	for _, r := range records {
		list = append(list, poolplan.Executor{ID: r.ID, StartedMs: r.StartedMs, Machine: r.Machine, Address: r.Address, Zone: r.Zone, Labels: r.Labels, Rack: r.Rack, Capacity: r.Capacity, StaleAck: r.StaleAck})
	}
	return list, nil
}

// RetentionExpired reports whether a job that ended at t may be deleted. It is
// false for the zero time.
func RetentionExpired(t, now time.Time, keep time.Duration) bool {
	return !t.IsZero() && now.Sub(t) > keep
}
