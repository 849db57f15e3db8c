package maintenance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// maxCommitAttempts bounds the attempts at one change. Up to eight entry hosts
	// commit to the ledger, each about once a second.
	maxCommitAttempts = 5
	// conflictBackoff is the least wait after a conflict, times the attempt.
	conflictBackoff = 50 * time.Millisecond
	// commitTimeout bounds one change with its attempts.
	commitTimeout = 5 * time.Second
)

// errNoChange tells change that there is nothing to commit.
var errNoChange = errors.New("nothing to change")

// decideAndCommit lets decide work on a draft of the newest view and commits the
// outcome. After a conflict it decides again on a fresh view. life ends with
// the duty, ctx with the request.
func (p *planner) decideAndCommit(life, ctx context.Context, id string, decide func(*budget.Draft) error) error {
	for attempt := 1; ; attempt++ {
		view := p.service.state.View()
		if view == nil {
			return fault.New(&fault.NotRun, fault.ReasonNoState, stepPlan, "", "no shared state yet")
		}
		d := p.newDraft(view)
		if err := decide(d); err != nil {
			if errors.Is(err, errNoChange) {
				return nil
			}
			return err
		}
		err := p.commit(ctx, view, id, d.Outcome())
		if err == nil || fault.ReasonOf(err) != fault.ReasonConflict || attempt == maxCommitAttempts {
			return err
		}
		p.service.countRetry(stepPlan, fault.ReasonConflict)
		if !sleep(life, ctx, time.Duration(attempt)*conflictBackoff) {
			return err
		}
	}
}

func (p *planner) newDraft(view *services.View) *budget.Draft {
	return budget.NewDraft(budget.Snapshot{
		Document:    view.Document,
		Assignments: view.Assignments,
		Ledger:      view.Ledger,
		Hosts:       p.service.hosts.Hosts(),
		Now:         p.service.clock(),
	})
}

func (p *planner) commit(ctx context.Context, view *services.View, id string, o budget.Outcome) error {
	if o.Empty() {
		return nil
	}
	c, err := encode(view, id, o)
	if err != nil {
		return fault.New(&fault.Invalid, fault.ReasonInternal, stepPlan, "", "encode change: %w", err)
	}
	_, err = p.service.state.Change(ctx, c)
	return err
}

// encode turns an outcome into a change that holds only if the parts that it
// was decided from are as they are in view. The assignment of a host with a
// pool changes only together with the ledger, so that a grant needs no
// condition on its bucket.
func encode(view *services.View, id string, o budget.Outcome) (revision.Change, error) {
	c := revision.Change{ID: id}
	written := make(map[string]bool)
	put := func(part string, content any) error {
		data, err := json.Marshal(content)
		written[part] = true
		c.Updates = append(c.Updates, revision.Update{Part: part, IfRevision: view.State.Parts[part].Revision, Data: data})
		return err
	}
	if o.Ledger != nil {
		if err := put(services.PartLedger, o.Ledger); err != nil {
			return c, err
		}
	}
	for _, host := range slices.Sorted(maps.Keys(o.Assigned)) {
		part := services.HostsPart(host)
		if written[part] {
			continue
		}
		if err := put(part, bucketContent(view.Assignments, o.Assigned, budget.Bucket(host))); err != nil {
			return c, err
		}
	}
	for _, section := range o.Sections {
		part := services.PartSectionPrefix + section
		c.Requires = append(c.Requires, revision.Requirement{Part: part, Revision: view.State.Parts[part].Revision})
	}
	return c, nil
}

// bucketContent returns the content of one bucket after the change.
func bucketContent(all, assigned budget.Assignments, number int) budget.Assignments {
	content := make(budget.Assignments)
	for _, from := range []budget.Assignments{all, assigned} {
		for host, pool := range from {
			if budget.Bucket(host) != number {
				continue
			}
			content[host] = pool
			if pool == budget.NoPool {
				delete(content, host)
			}
		}
	}
	return content
}

// nextChangeID returns an identifier for a change that this process decided itself.
func (p *planner) nextChangeID() string {
	p.changeCount++
	self := p.service.membership.Self()
	return fmt.Sprintf("maintenance/%s/%d/%d", self.Name, self.Incarnation, p.changeCount)
}

// sleep waits for at least d, with jitter, and reports false when a context
// ended first.
func sleep(life, ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d + time.Duration(rand.Float64()*float64(d)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-life.Done():
	}
	return false
}
