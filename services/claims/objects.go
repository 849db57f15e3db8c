package claims

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// largeAnswerRetention is how long a large answer stays in memory while the object
	// store does not take it.
	largeAnswerRetention = 60 * time.Second
	// objectRetryPause is the pause between attempts to store one answer.
	objectRetryPause = time.Second
)

// largeClaimEnd is the end of a claim whose answer does not fit into the row. since
// is when it was queued.
type largeClaimEnd struct {
	claimEnd
	queuedAt time.Time
}

// storeObjects is the duty claims.objects. It stores one answer after another
// and passes each end on to the duty claims.commit.
func (s *Service) storeObjects(ctx context.Context) {
	for {
		e, err := s.largeEnds.Take(ctx)
		if err != nil {
			return
		}
		s.postEnd(s.storeObject(ctx, e))
	}
}

// storeObject returns the end with the name of the stored answer, or without an
// answer when the object store did not take it in time.
func (s *Service) storeObject(ctx context.Context, e largeClaimEnd) claimEnd {
	until := e.queuedAt.Add(largeAnswerRetention)
	name := objectName(e.key, e.body)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.platform.PutObject(call, name, e.body)
		cancel()
		if err == nil {
			e.object, e.body = name, nil
			return e.claimEnd
		}
		if !time.Now().Add(objectRetryPause).Before(until) {
			break
		}
		s.countEvent("retried_total", stepObject, fault.ReasonOf(err))
		if !services.Sleep(ctx, objectRetryPause) {
			break
		}
	}
	s.countEvent("refused_total", stepObject, fault.ReasonAnswerLost)
	return e.withoutAnswer()
}
