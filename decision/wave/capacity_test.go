package wave

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fleet"
)

var moveParams = MoveParams{Weights: Weights{Share: 1, Moves: 1, Buffer: 1}, Hysteresis: 1, MoveCost: 0.5}

// TestPlanMoves guards against moves that demand does not justify, moves that
// would be reversed, hosts of the wrong kind, and a weight of moves that keeps
// hosts from a pool however short it is.
func TestPlanMoves(t *testing.T) {
	pool := func(name string, hosts int, demand float64) PoolLoad {
		return PoolLoad{Pool: name, Kind: fleet.KindWorker, Hosts: hosts, Demand: demand}
	}
	spare := PoolLoad{Pool: "office", Kind: fleet.KindWorker, Spare: true, Hosts: 2}
	servers := PoolLoad{Pool: "servers", Kind: fleet.KindBackendServer, Hosts: 50}
	light, heavy := moveParams, moveParams
	light.Share, heavy.Moves = 4, 4
	one := light
	one.MaxMoves = 1
	cases := []struct {
		name  string
		pools []PoolLoad
		p     MoveParams
		want  []Move
	}{
		{"enough everywhere", []PoolLoad{spare, pool("a", 12, 9), pool("b", 12, 9)}, moveParams, nil},
		{"short by less than the hysteresis", []PoolLoad{spare, pool("a", 11, 9), pool("b", 12, 9)}, light, nil},
		{"spare pool gives first", []PoolLoad{pool("b", 30, 9), spare, pool("a", 9, 9)}, moveParams, []Move{{"office", "a"}}},
		{"then the largest surplus", []PoolLoad{pool("b", 20, 9), pool("c", 16, 9), pool("a", 9, 9)}, moveParams, []Move{{"b", "a"}}},
		{"donor keeps its target", []PoolLoad{pool("b", 11, 9), pool("a", 4, 9)}, moveParams, nil},
		{"other kind does not help", []PoolLoad{servers, pool("a", 4, 9)}, moveParams, nil},
		{"moves weigh more than waiting", []PoolLoad{spare, pool("a", 9, 9)}, heavy, nil},
		{"a large shortage weighs more than moves", []PoolLoad{spare, pool("a", 4, 9)}, heavy, []Move{{"office", "a"}, {"office", "a"}}},
		{"until the rest is not worth a move", []PoolLoad{pool("b", 30, 9), pool("a", 8, 9)}, heavy, []Move{{"b", "a"}}},
		{"donor keeps minHosts", []PoolLoad{{Pool: "office", Kind: fleet.KindWorker, Spare: true, Hosts: 2, MinHosts: 2}, pool("a", 4, 9)}, moveParams, nil},
		{"full at maxHosts", []PoolLoad{spare, {Pool: "a", Kind: fleet.KindWorker, Hosts: 4, MaxHosts: 5, Demand: 9}}, moveParams, []Move{{"office", "a"}}},
		{"shortest in proportion first", []PoolLoad{spare, pool("a", 35, 36), pool("b", 2, 4)}, one, []Move{{"office", "b"}}},
		{"as many as the shortage asks", []PoolLoad{spare, pool("a", 4, 9), pool("b", 16, 9)}, light,
			[]Move{{"office", "a"}, {"office", "a"}, {"b", "a"}, {"b", "a"}, {"b", "a"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, PlanMoves(c.pools, c.p), c.want)
		})
	}
}

// TestBurstsMoveNoHosts guards against moves that chase bursts: two pools ask
// in turn for five times their mean for 5 s of every minute.
func TestBurstsMoveNoHosts(t *testing.T) {
	now := start
	trends := []MovingMean{{Mean: 3, ObservedAt: now}, {Mean: 3, ObservedAt: now}}
	moves := 0
	for second := range 600 {
		now = now.Add(time.Second)
		loads := []PoolLoad{{Pool: "a", Kind: fleet.KindWorker, Hosts: 6}, {Pool: "b", Kind: fleet.KindWorker, Hosts: 6}}
		for i := range trends {
			demand := 2.8
			if (second+30*i)%60 < 5 {
				demand = 15
			}
			trends[i] = trends[i].Observe(demand, now, 2*time.Minute)
			loads[i].Demand = trends[i].Mean
		}
		moves += len(PlanMoves(loads, moveParams))
	}
	assert.Equal(t, moves, 0)
	for range 600 {
		now = now.Add(time.Second)
		trends[0] = trends[0].Observe(15, now, 2*time.Minute)
	}
	got := PlanMoves([]PoolLoad{{Pool: "a", Kind: fleet.KindWorker, Hosts: 6, Demand: trends[0].Mean}, {Pool: "office", Kind: fleet.KindWorker, Spare: true, Hosts: 20}}, moveParams)
	assert.Assert(t, len(got) >= 9, "a lasting demand moves hosts: %v", got)
}
