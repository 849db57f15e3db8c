package services

// Readiness tells the balancer whether to send callers to this host. It is
// part of the service NameAdmin.
type Readiness interface {
	SetReady(ready bool)
}
