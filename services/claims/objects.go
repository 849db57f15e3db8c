package claims

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// largeAnswerRetention is how long a large answer is kept in memory while
	// it cannot be stored.
	largeAnswerRetention = 60 * time.Second
	// objectRetryPause is the pause between attempts to store one answer.
	objectRetryPause = time.Second
)

// largeClaimEnd is the end of a claim whose answer does not fit into the row.
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

// storeObject stores the answer of e and returns the end with the object's name,
// or without an answer if it could not be stored in time.
func (s *Service) storeObject(ctx context.Context, e largeClaimEnd) claimEnd {
	deadline := e.queuedAt.Add(largeAnswerRetention)
	name := objectName(e.key, e.body)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.platform.PutObject(callCtx, name, e.body)
		cancel()
		if err == nil {
			e.object, e.body = name, nil
			return e.claimEnd
		}
		if !time.Now().Add(objectRetryPause).Before(deadline) {
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
