package claims

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// keepLarge is how long a large answer stays in memory while the object
	// store does not take it.
	keepLarge = 60 * time.Second
	// objectRetry is the pause between attempts to store one answer.
	objectRetry = time.Second
)

// largeEnd is the end of a claim whose answer does not fit into the row. since
// is when it was queued.
type largeEnd struct {
	end
	since time.Time
}

// storeObjects is the duty claims.objects. It stores one answer after another
// and passes each end on to the duty claims.commit.
func (s *Service) storeObjects(ctx context.Context) {
	for {
		e, err := s.objects.Take(ctx)
		if err != nil {
			return
		}
		s.postEnd(s.store(ctx, e))
	}
}

// store returns the end with the name of the stored answer, or without an
// answer when the object store did not take it in time.
func (s *Service) store(ctx context.Context, e largeEnd) end {
	until := e.since.Add(keepLarge)
	name := objectName(e.key, e.body)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.platform.PutObject(call, name, e.body)
		cancel()
		if err == nil {
			e.object, e.body = name, nil
			return e.end
		}
		if !time.Now().Add(objectRetry).Before(until) {
			break
		}
		s.count("retried_total", stepObject, fault.ReasonOf(err))
		if !services.Sleep(ctx, objectRetry) {
			break
		}
	}
	s.count("refused_total", stepObject, fault.ReasonAnswerLost)
	return e.withoutAnswer()
}
