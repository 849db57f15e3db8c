package services

// Readiness tells the load balancer whether to send callers to this host. It is
// implemented by the service NameAdmin.
type Readiness interface {
	SetReady(ready bool)
}
