package services

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
)

// PublishedSummary is a pool's summary with the ownership under which it was made.
type PublishedSummary struct {
	Ownership PoolOwnership
	// Summary is nil if the load is not known.
	Summary *waitestimate.Summary
}

// ObservedSummary is what this host knows of a pool's load.
type ObservedSummary struct {
	// Summary is nil if the owner published none with its last renewal.
	Summary *waitestimate.Summary
	Age     time.Duration
	// Holder and Term identify the owner.
	Holder string
	Term   int
}

// PoolSummaries carries the summaries of pools from their owners to all hosts, in the
// owner records. It is implemented by the service NameOwnership.
type PoolSummaries interface {
	// PublishSummary hands over a summary for the next renewals of an ownership. It
	// returns false if there was no room, so that it has to be repeated.
	PublishSummary(s PublishedSummary) bool
	// ObservedSummary returns the summary of a pool as this host last read it. It may be
	// called from any goroutine.
	ObservedSummary(pool string) ObservedSummary
}
