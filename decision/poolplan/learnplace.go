package poolplan

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

const (
	// estimateDeviation is the deviation of the logarithm of the estimates' error before
	// any has been measured; it is that of the submitters' estimates.
	estimateDeviation = 0.9
	// shrinkSamples is the number of samples that the queue's estimate counts for against
	// those of one kind of task.
	shrinkSamples = 10
	// maxTaskKinds bounds the kinds of tasks whose durations are learned; images are names
	// that submitters choose.
	maxTaskKinds = 4096
)

// taskKind is what tasks have in common that take similar times.
type taskKind struct{ queue, image, tenant string }

func kindOf(j *workload.Spec, s *workload.Step) taskKind {
	return taskKind{j.Queue.Name, s.Image, j.Tenant}
}

// kindEstimator learns by how much the tasks of a kind differ from the expectation for
// their queue, and how large the error of the estimate is.
type kindEstimator struct {
	samples int
	// logBias is the moving mean of the logarithm of the durations divided by the queue's
	// expectation.
	logBias float64
	// squaredError is the moving mean of the squares of the estimates' errors.
	squaredError float64
}

// correction returns the logarithm of the factor by which the queue's expectation is
// multiplied.
func (k *kindEstimator) correction() float64 {
	return k.logBias * float64(k.samples) / float64(k.samples+shrinkSamples)
}

// add adds a task whose duration was the queue's expectation times exp(ratio).
func (k *kindEstimator) add(ratio float64) {
	weight := max(1/float64(k.samples+1), sampleWeight)
	deviation := ratio - k.correction()
	if k.samples == 0 {
		k.squaredError = estimateDeviation * estimateDeviation
	}
	k.squaredError += max(1/float64(k.samples+shrinkSamples), sampleWeight) * (deviation*deviation - k.squaredError)
	k.logBias += weight * (ratio - k.logBias)
	k.samples++
}

// prediction is an estimate of a duration and how sure it is.
type prediction struct {
	median       time.Duration
	logDeviation float64
}

// predict returns the expected duration of a task in its preferred placement.
func (p *Plan) predict(g *group) prediction {
	spec := g.job.spec
	expected := p.taskDurations[spec.Queue.Name].expected(g.step.Estimate)
	k := p.kindDurations[kindOf(spec, g.step)]
	if k == nil {
		return prediction{expected, estimateDeviation}
	}
	factor := math.Exp(k.correction())
	return prediction{time.Duration(float64(expected) * factor), math.Sqrt(k.squaredError)}
}

// recordKindDuration adds the duration of a task in its preferred placement, which is used
// only where the placement matters.
func (p *Plan) recordKindDuration(g *group, duration time.Duration) {
	expected := p.taskDurations[g.job.spec.Queue.Name].expected(g.step.Estimate)
	if !p.placementMatters() || duration <= 0 || expected <= 0 {
		return
	}
	kind := kindOf(g.job.spec, g.step)
	k := p.kindDurations[kind]
	if k == nil {
		if len(p.kindDurations) >= maxTaskKinds {
			return
		}
		k = new(kindEstimator)
		p.kindDurations[kind] = k
	}
	k.add(math.Log(float64(duration) / float64(expected)))
}
