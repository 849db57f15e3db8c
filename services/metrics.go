package services

import (
	"net/http"

	"fuchsiafront.example/fuchsiafront/fault"
)

// RefusalCount is how often work was refused at a step for a reason.
type RefusalCount struct {
	Step   string
	Reason fault.Reason
	Count  int64
}

// Metrics counts refusals and retries by reason. Methods may be used
// concurrently.
type Metrics interface {
	CountRefusal(step string, reason fault.Reason)
	CountRetry(step string, reason fault.Reason)
	Refusals() []RefusalCount
	// Handler serves all metrics in the Prometheus text format.
	Handler() http.Handler
}
