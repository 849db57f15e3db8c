// Package services defines the names, the interfaces and the messages by which
// services know each other. Implementations live in folders below this one and
// never import one another; they meet through the kernel.
package services

// Names under which services are registered with the kernel.
const (
	NamePlatform    = "platform"
	NameState       = "statesync"
	NamePeers       = "peers"
	NameMembership  = "membership"
	NameRights      = "rights"
	NameClaims      = "claims"
	NameDispatch    = "dispatch"
	NameBackend     = "backend"
	NameJobs        = "jobs"
	NameMaintenance = "maintenance"
	NameFront       = "front"
	NameAdmin       = "admin"
	NameMetrics     = "metrics"
	NameHosts       = "hosts"
	NameCatalog     = "catalog"
	NameOwnership   = "ownership"
	NamePools       = "pools"
	NameJobIntake   = "jobdesk"
	NameJobFront    = "jobfront"
	NameUpkeep      = "upkeep"
	NameLog         = "log"
)
