package jobrecord

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// OwnerRecord names the process that owns a pool.
type OwnerRecord struct {
	// Power is the processor share of the holder, in cores.
	Power float64 `json:"power,omitempty"`
	// Holder is the name of the host; Incarnation tells its processes apart.
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	Term        int    `json:"term"`
	// Renewals rises with each renewal, so that the value changes.
	Renewals int64 `json:"renewals"`
	// Released tells that the owner has given the pool up.
	Released bool `json:"released,omitempty"`
}

// StatusRecord is what the owner of a pool publishes.
type StatusRecord struct {
	Term int `json:"term"`
	// Pending counts, for each queue, the jobs for which no task has started.
	Pending map[string]int `json:"pending"`
	// StartedUnrecorded lists jobs whose tasks have started and whose progress is not
	// recorded yet.
	StartedUnrecorded []string `json:"begun,omitempty"`
	// CordonsVersion is the version of the record of cordons that the owner follows,
	// and Empty lists the machines in it on which nothing runs.
	CordonsVersion int64    `json:"cordons,omitempty"`
	EmptyMachines  []string `json:"empty,omitempty"`
	// DemandMilliCPU is the processor demand of work that could run now, in
	// thousandths, and Capacity what the executors have.
	DemandMilliCPU   int64 `json:"demand"`
	CapacityMilliCPU int64 `json:"capacity"`
	// Machines gives, for each machine, how much of it is in use.
	Machines map[string]MachineUse `json:"machines,omitempty"`
}

// MachineUse is how much of a machine is in use.
type MachineUse struct {
	MilliCPU int64 `json:"cpu"`
	Tasks    int   `json:"tasks"`
	Services int   `json:"services,omitempty"`
}

// CordonRecord tells the owner of a pool which machines to empty.
type CordonRecord struct {
	// Machines get no new work at all.
	Machines []string `json:"machines"`
	// Leave lists machines that service tasks should leave.
	Leave []string `json:"leave,omitempty"`
}

// OrdersRecord lists the machines that were ordered away a short time ago. It is
// written before the orders are given, so that the next owner of the machines
// knows for which of them it has to wait.
type OrdersRecord struct {
	Machines []string `json:"machines"`
}

// PoolSizesRecord holds the usual number of machines of each pool: those that it had
// when the system started for the first time.
type PoolSizesRecord struct {
	Pools map[string]int `json:"pools"`
}

// WaveRecord is the progress of a wave.
type WaveRecord struct {
	// Done lists the machines whose maintenance has begun.
	Done      []string `json:"done"`
	Completed bool     `json:"completed,omitempty"`
	// FirstSeenMs is the store's clock when the first owner saw the wave.
	FirstSeenMs int64 `json:"seen"`
}

type executorRecord struct {
	ID       string          `json:"id"`
	Born     int64           `json:"born,omitempty"`
	Machine  string          `json:"machine,omitempty"`
	Address  string          `json:"addr"`
	Zone     string          `json:"zone,omitempty"`
	Labels   []string        `json:"labels,omitempty"`
	Rack     string          `json:"rack,omitempty"`
	Capacity fleet.Resources `json:"cap"`
}

// executorShardCount is the number of records over which the used executors of a pool
// are spread. A record holds 64 KiB, some 300 executors. All of them are written
// in one transaction of at most 1 MB, some 3,500 executors; the users aim at pools
// of 75.
const executorShardCount = 32

// EncodeExecutors returns the records of the used executors of a pool.
func EncodeExecutors(pool string, list []poolplan.Executor) ([]services.RecordWrite, error) {
	shards := make([][]executorRecord, executorShardCount)
	for _, e := range list {
		n := xxhash.Sum64String(e.ID) % executorShardCount
		shards[n] = append(shards[n], executorRecord{ID: e.ID, Born: e.StartedMs, Machine: e.Machine, Address: e.Address, Zone: e.Zone, Labels: e.Labels, Rack: e.Rack, Capacity: e.Capacity})
	}
	writes := make([]services.RecordWrite, executorShardCount)
	for n, shard := range shards {
		writes[n] = services.RecordWrite{RecordKey: executorShardKey(pool, n), Delete: len(shard) == 0}
		if len(shard) == 0 {
			continue
		}
		var err error
		if writes[n].Value, err = json.Marshal(shard); err != nil {
			return nil, ErrRecord.New("executors: %v", err)
		}
	}
	return writes, nil
}

// DecodeExecutors returns the executors of one record of EncodeExecutors.
func DecodeExecutors(value []byte) ([]poolplan.Executor, error) {
	var records []executorRecord
	if err := json.Unmarshal(value, &records); err != nil {
		return nil, ErrRecord.New("executors: %v", err)
	}
	list := make([]poolplan.Executor, 0, len(records))
	for _, r := range records {
		list = append(list, poolplan.Executor{ID: r.ID, StartedMs: r.Born, Machine: r.Machine, Address: r.Address, Zone: r.Zone, Labels: r.Labels, Rack: r.Rack, Capacity: r.Capacity})
	}
	return list, nil
}

// RetentionExpired reports whether a job that ended at t may be deleted.
func RetentionExpired(t, now time.Time, keep time.Duration) bool {
	return !t.IsZero() && now.Sub(t) > keep
}
