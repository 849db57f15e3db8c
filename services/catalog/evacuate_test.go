package catalog

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/services"
)

// Guards against a zone that stays evacuated because the store lost the removal of the row
// from its history, against readers that are not notified, and against an answer to an
// older call that evacuates the zone again.
func TestRemovalIsKnownAfterLostHistory(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(func() time.Time { return now })
	s.log, s.scope = zerolog.Nop(), tally.NoopScope
	s.ageGauge, s.evacuationChanges = s.scope.Gauge("age"), s.scope.Counter("evacuations")
	changed := s.WatchChanges("test")
	f := follower{s: s, schedule: follow.New(policy)}
	request := []evacuation.Request{{Zone: "a", Version: 5}}
	for _, step := range []struct {
		answer  readDone
		want    bool
		changes int
	}{
		{readDone{state: services.OperatorState{Version: 4, Complete: true}}, false, 0},
		{readDone{readCall: readCall{after: 4}, state: services.OperatorState{Version: 5, Evacuations: request}}, true, 1},
		{readDone{readCall: readCall{after: 5}, state: services.OperatorState{VersionExpired: true}}, true, 0},
		{readDone{state: services.OperatorState{Version: 9, Complete: true}}, false, 1},
		{readDone{readCall: readCall{after: 4}, state: services.OperatorState{Version: 5, Evacuations: request}}, false, 0},
	} {
		step.answer.sentAt = now
		f.handle(step.answer)
		assert.Equal(t, s.Evacuations().Has("a"), step.want)
		assert.Equal(t, len(changed.C()), step.changes)
		for range step.changes {
			<-changed.C()
		}
	}
	assert.Equal(t, f.version, int64(9))
}
