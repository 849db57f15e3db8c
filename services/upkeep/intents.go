package upkeep

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/sizing"
	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// orderIntents is the record of the machines for which orders are given. It is
// written before the orders, on condition that this process still owns the
// management of machines. The next owner reads it after its claim and so knows
// every machine for which this one may have given an order.
type orderIntents struct {
	loaded  bool
	version int64
	// inherited has the machines for which earlier owners may have given orders.
	inherited map[string]bool
	// ownOrderedAt has when this process last intended an order for each machine.
	ownOrderedAt map[string]time.Time
}

func (s *Service) loadIntents(ctx context.Context) bool {
	if s.intents.loaded {
		return true
	}
	record, version, err := readRecord[jobrecord.OrdersRecord](ctx, s.records, jobrecord.OrdersKey())
	if err != nil {
		s.log.Debug().Err(err).Msg("orders of the previous owner not read; round skipped")
		return false
	}
	s.intents.loaded, s.intents.version = true, version
	s.intents.inherited = make(map[string]bool)
	if s.intents.ownOrderedAt == nil {
		s.intents.ownOrderedAt = make(map[string]time.Time)
	}
	for _, m := range record.Machines {
		s.intents.inherited[m] = true
	}
	return true
}

// permittedNow returns the orders that may be given now.
func (s *Service) permittedNow(now time.Time, orders []upkeep.Order, moves []sizing.Move) ([]upkeep.Order, []sizing.Move) {
	if !s.mayOrder(now) {
		return nil, nil
	}
	orders = slices.DeleteFunc(slices.Clone(orders), func(o upkeep.Order) bool { return s.isDeferred(now, o.Machine) })
	moves = slices.DeleteFunc(slices.Clone(moves), func(m sizing.Move) bool { return s.isDeferred(now, m.Machine) })
	return orders, moves
}

// isDeferred reports whether no order may be given for a machine yet, because an
// earlier owner may have given one.
func (s *Service) isDeferred(now time.Time, machine string) bool {
	return now.Sub(s.poolOwnership.ClaimedAt) < s.settings.OrderLease && s.intents.inherited[machine]
}

// intentWrite is a write of the record.
type intentWrite struct {
	// addedMachines are the machines that were not in the record.
	addedMachines []string
	value         []byte
	commit        services.RecordCommit
	err           error
}

// prepareIntents returns the write that adds the machines of the orders to the
// record, or nil if it has them all.
func (s *Service) prepareIntents(now time.Time, orders []upkeep.Order, moves []sizing.Move) *intentWrite {
	w := new(intentWrite)
	addMachine := func(machine string) {
		if _, ok := s.intents.ownOrderedAt[machine]; !ok {
			w.addedMachines = append(w.addedMachines, machine)
		}
		s.intents.ownOrderedAt[machine] = now
	}
	for _, o := range orders {
		addMachine(o.Machine)
	}
	for _, m := range moves {
		addMachine(m.Machine)
	}
	if len(w.addedMachines) == 0 {
		return nil
	}
	maps.DeleteFunc(s.intents.ownOrderedAt, func(_ string, at time.Time) bool { return now.Sub(at) > s.settings.OrderLease+maxRenewalAge })
	machines := slices.Collect(maps.Keys(s.intents.ownOrderedAt))
	if now.Sub(s.poolOwnership.ClaimedAt) < s.settings.OrderLease {
		machines = slices.AppendSeq(machines, maps.Keys(s.intents.inherited))
	}
	slices.Sort(machines)
	w.value, w.err = json.Marshal(jobrecord.OrdersRecord{Machines: slices.Compact(machines)})
	return w
}

func (w *intentWrite) perform(ctx context.Context, s *Service) {
	if w.err != nil {
		return
	}
	w.commit, w.err = s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{s.poolOwnership.Condition, {RecordKey: jobrecord.OrdersKey(), Version: s.intents.version}},
		Writes:     []services.RecordWrite{{RecordKey: jobrecord.OrdersKey(), Value: w.value}},
	})
}

// apply reports whether the machines are in the record. After a failure the
// record is read again.
func (w *intentWrite) apply(s *Service) bool {
	if w.err != nil || !w.commit.Committed {
		s.log.Warn().Err(w.err).Strs("machines", w.addedMachines).Msg("orders not recorded; none is given")
		s.intents.loaded = false
		for _, machine := range w.addedMachines {
			delete(s.intents.ownOrderedAt, machine)
		}
		return false
	}
	s.intents.version = w.commit.Version
	return true
}
