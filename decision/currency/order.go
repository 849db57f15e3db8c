package currency

import (
	"math/rand/v2"
	"slices"
)

// Order chooses the member to ask next: every second one of the own zone,
// each group in a shuffled order, so that no member waits for more than one
// round of its group. It is owned by one goroutine.
type Order struct {
	random *rand.Rand
	near   []string
	far    []string
	turn   int
}

// NewOrder returns an order that draws from random.
func NewOrder(random *rand.Rand) *Order { return &Order{random: random} }

// Next returns the next of the members named; near are those of the own zone,
// far are all others. It returns "" when there are none.
func (o *Order) Next(near, far []string) string {
	o.turn++
	if len(far) == 0 || (o.turn%2 == 0 && len(near) > 0) {
		return o.draw(&o.near, near)
	}
	return o.draw(&o.far, far)
}

// draw takes the next name of a round that is still a member, and starts a
// new round when there is none.
func (o *Order) draw(round *[]string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	for {
		if len(*round) == 0 {
			*round = slices.Clone(members)
			o.random.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
		}
		next := (*round)[0]
		*round = (*round)[1:]
		if slices.Contains(members, next) {
			return next
		}
	}
}
