// Package jobrecord defines how jobs, their progress and the state of pools are
// stored in the platform's store: tables, keys and encodings.
//
// Records that only a pool's owner writes are in the part named after the pool, so
// that one transaction can change them and check the ownership. Jobs, their
// identifiers and cancellations, which every host writes, and the status of the
// pool are in other parts, because the store executes the transactions of a part
// one after another, and a slow store takes half a second for each.
package jobrecord

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"fuchsiafront.example/fuchsiafront/services"
)

// ErrRecord is the class of errors for records that cannot be encoded or decoded.
var ErrRecord = errs.Class("record")

// MaxRecordBytes is the size of a value above which the store refuses it.
const MaxRecordBytes = 65536

// Tables of the store.
const (
	tableJobsPrefix = "jobs."
	TableProgress   = "progress"
	TableOwners     = "owners"
	TablePools      = "pools"
	TableLimits     = "limits"
	// TableIDs has the pool of each job, by its identifier.
	TableIDs = "ids"
	// TableRefused has the refusals of jobs, by their identifiers.
	TableRefused = "refused"
	// PartLimits is the only part of TableLimits; its keys are tenants.
	PartLimits = "limits"
)

// Keys, and their prefixes and suffixes.
const (
	// prefixJobPart is followed by the number of the part.
	prefixJobPart = "jobs/"

	keyOwner     = "owner"
	keyTerm      = "term"
	keyExecutors = "executors"
	// prefixExecutors is followed by the number of the shard.
	prefixExecutors = "executors/"
	keyStatus       = "status"
	// prefixMoved is followed by the name of a pool.
	prefixMoved      = "moved/"
	suffixStatusPart = "/status"
	keyCordons       = "cordons"
	prefixWave       = "wave/"
	keyPoolSizes     = "homes"
	keyOrders        = "orders"
	keyRotation      = "rotation"
	keySaves         = "saves"

	suffixJob      = "/job"
	suffixCancel   = "/cancel"
	suffixProgress = "/progress"
	// suffixEnd is the byte that follows '/', the first byte of the suffixes.
	// It ends the range of all keys of one job.
	suffixEnd = "0"
)

// TableJobs returns the table of a pool's jobs. Each pool has its own, because the
// store lists changes by table only.
func TableJobs(pool string) string { return tableJobsPrefix + pool }

// jobPartCount is the number of parts over which the jobs of all pools are spread. A
// slow store executes two transactions a second in each part. Queues have their peaks
// in turn, so that all pools together receive little more than the one with the most,
// which is up to 45 jobs a second.
const jobPartCount = 64

// jobPart returns the name of the part that holds a job. It depends on the identifier
// alone, so that one transaction can record the job in a pool and check that no pool
// has a job with that identifier.
func jobPart(id string) string { return numberedPart(int(xxhash.Sum64String(id) % jobPartCount)) }

func numberedPart(n int) string { return prefixJobPart + strconv.Itoa(n) }

// JobParts returns the names of all parts that hold jobs.
func JobParts() []string {
	parts := make([]string, 0, jobPartCount)
	for n := range jobPartCount {
		parts = append(parts, numberedPart(n))
	}
	return parts
}

// PoolJobParts returns the names of the parts in which earlier versions of this program
// recorded the jobs of a pool.
func PoolJobParts(pool string) []string {
	parts := JobParts()
	for i, part := range parts {
		parts[i] = poolJobPart(pool, part)
	}
	return parts
}

func poolJobPart(pool, part string) string {
	return pool + "/" + strings.TrimPrefix(part, prefixJobPart)
}

// PoolPartKey returns the key that earlier versions used in place of a key of a job.
func PoolPartKey(pool string, key services.RecordKey) services.RecordKey {
	key.Part = poolJobPart(pool, key.Part)
	return key
}

// OwnerRange selects the records in the table of the pool's jobs that only the
// pool's owner and the owner of the machine management write.
func OwnerRange(pool string) services.RecordRange {
	return services.RecordRange{Table: TableJobs(pool), Part: pool}
}

// JobKey returns the key of a job.
func JobKey(pool, id string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: jobPart(id), Key: id + suffixJob}
}

// IDKey returns the key of the record that says which pool a job is in. Its value is
// the name of the pool.
func IDKey(id string) services.RecordKey {
	return services.RecordKey{Table: TableIDs, Part: jobPart(id), Key: id}
}

// RefusedKey returns the key of a job's RefusalRecord. It is in the part of the job's
// identifier, so that one transaction can check and change both.
func RefusedKey(id string) services.RecordKey {
	return services.RecordKey{Table: TableRefused, Part: jobPart(id), Key: id}
}

// CancelKey returns the key of a job's cancellation.
func CancelKey(pool, id string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: jobPart(id), Key: id + suffixCancel}
}

// ProgressKey returns the key of a part of a job's progress. Part zero has the state
// of the job and comes first in its range.
func ProgressKey(pool, id string, part int) services.RecordKey {
	key := services.RecordKey{Table: TableProgress, Part: pool, Key: id + suffixProgress}
	if part > 0 {
		key.Key += "/" + strconv.Itoa(part)
	}
	return key
}

// SavesKey returns the key of a record that changes with each save of the progress
// of the pool's jobs. Each save is conditional on its version, because the store
// may execute a save that it did not answer after a later one.
func SavesKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableProgress, Part: pool, Key: keySaves}
}

// ProgressRange selects the progress of a job.
func ProgressRange(pool, id string) services.RecordRange {
	return services.RecordRange{Table: TableProgress, Part: pool, From: id + "/", To: id + suffixEnd}
}

// JobRange selects a job and its cancellation.
func JobRange(pool, id string) services.RecordRange {
	return services.RecordRange{Table: TableJobs(pool), Part: jobPart(id), From: id + "/", To: id + suffixEnd}
}

// OwnerKey returns the key of a pool's OwnerRecord.
func OwnerKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableOwners, Part: pool, Key: keyOwner}
}

// TermKey returns the key of a record that changes only when the pool's owner
// changes. It is in the table of the pool's jobs, so that an owner that follows
// this table sees its successor's claim before any job recorded after the claim.
func TermKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: pool, Key: keyTerm}
}

// ExecutorsKey returns the key of a record that changes whenever the record of the
// executors used by owners of the pool changes. Each change is conditional on its
// version, for the same reason as with SavesKey.
func ExecutorsKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: pool, Key: keyExecutors}
}

// executorShardKey returns the key of shard n of the pool's used executors.
func executorShardKey(pool string, n int) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: pool, Key: prefixExecutors + strconv.Itoa(n)}
}

// IsExecutorShard reports whether key is that of a record made by EncodeExecutors.
func IsExecutorShard(key services.RecordKey) bool {
	return key.Table == TablePools && strings.HasPrefix(key.Key, prefixExecutors)
}

// StatusKey returns the key of a pool's StatusRecord.
func StatusKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: pool + suffixStatusPart, Key: keyStatus}
}

// StatusRange selects a pool's StatusRecord and the MovedRecords of other pools.
func StatusRange(pool string) services.RecordRange {
	return services.RecordRange{Table: TablePools, Part: pool + suffixStatusPart}
}

// MovedKey returns the key of the MovedRecord of a pool for the pool of a service.
func MovedKey(service, pool string) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: service + suffixStatusPart, Key: prefixMoved + pool}
}

// CordonsKey returns the key of a pool's CordonRecord. It is in the table that the
// pool's owner follows.
func CordonsKey(pool string) services.RecordKey {
	return services.RecordKey{Table: TableJobs(pool), Part: pool, Key: keyCordons}
}

// WaveKey returns the key of a WaveRecord.
func WaveKey(number int) services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: prefixWave + strconv.Itoa(number)}
}

// LimitKey returns the key of the division of a tenant's limit among pools.
func LimitKey(tenant string) services.RecordKey {
	return services.RecordKey{Table: TableLimits, Part: PartLimits, Key: tenant}
}

// PoolSizesKey returns the key of the PoolSizesRecord.
func PoolSizesKey() services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: keyPoolSizes}
}

// OrdersKey returns the key of the OrdersRecord.
func OrdersKey() services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: keyOrders}
}

// RotationKey returns the key of the RotationRecord.
func RotationKey() services.RecordKey {
	return services.RecordKey{Table: TablePools, Part: services.MachineManagementPool, Key: keyRotation}
}

// RecordKind is the kind of a record in the tables of jobs and progress.
type RecordKind int

const (
	KindOther RecordKind = iota
	KindJob
	KindCancel
	KindProgress
)

// ParseKey returns the job identifier and the kind of record that key stands for.
func ParseKey(key string) (id string, kind RecordKind) {
	if id, ok := strings.CutSuffix(key, suffixJob); ok {
		return id, KindJob
	}
	if id, ok := strings.CutSuffix(key, suffixCancel); ok {
		return id, KindCancel
	}
	if id, part, ok := strings.Cut(key, suffixProgress); ok && (part == "" || part[0] == '/') {
		return id, KindProgress
	}
	return "", KindOther
}
