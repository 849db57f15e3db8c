package placement

import (
	"container/heap"
	"slices"
	"strings"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// minShare replaces shares that are not positive. Such a team is served last,
// and its weighted share is not a division by zero.
const minShare = 1e-6

// teamUsage tracks each team's use and computes its weighted share, the dominant
// share of the pool divided by the configured share.
type teamUsage struct {
	total  fleet.Resources
	byTeam map[string]fleet.Resources
	teams  map[string]Team
}

func newTeamUsage(in Input, total fleet.Resources) *teamUsage {
	u := &teamUsage{total: total, byTeam: make(map[string]fleet.Resources, len(in.Teams)), teams: in.Teams}
	for name, t := range in.Teams {
		u.byTeam[name] = t.OtherUse
	}
	for i := range in.Running {
		r := &in.Running[i]
		u.byTeam[r.Team] = u.byTeam[r.Team].Add(r.Size)
	}
	return u
}

func (u *teamUsage) add(team string, size fleet.Resources) float64 {
	u.byTeam[team] = u.byTeam[team].Add(size)
	return u.weightedShare(team)
}

func (u *teamUsage) weightedShare(team string) float64 {
	return u.byTeam[team].DominantShare(u.total) / max(u.teams[team].Share, minShare)
}

// teamQueue is the waiting work of one team in one class.
type teamQueue struct {
	team          string
	weightedShare float64
	jobs          []Job
	unplacedCount int
}

// teamHeap orders teams by weighted share, then by name.
type teamHeap []*teamQueue

func teamQueues(in Input, class fleet.QueueClass, usage *teamUsage) teamHeap {
	byTeam := make(map[string]*teamQueue)
	var h teamHeap
	for i := range in.Waiting {
		j := &in.Waiting[i]
		if j.Class != class || in.Teams[j.Team].Blocked {
			continue
		}
		q := byTeam[j.Team]
		if q == nil {
			q = &teamQueue{team: j.Team, weightedShare: usage.weightedShare(j.Team)}
			byTeam[j.Team] = q
			h = append(h, q)
		}
		q.jobs = append(q.jobs, *j)
	}
	slices.SortFunc(h, func(a, b *teamQueue) int { return strings.Compare(a.team, b.team) })
	heap.Init(&h)
	return h
}

func (h *teamHeap) pop() { heap.Pop(h) }
func (h *teamHeap) fix() { heap.Fix(h, 0) }

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].team < h[j].team
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
