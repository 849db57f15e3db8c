package budget

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

// meanWeightDivisor sets the weight of the newest host in a wave's moving
// average: 1/meanWeightDivisor.
const meanWeightDivisor = 4

// StartWave records a wave. A pool has at most one wave in progress, because
// two would share one measure of parallelism and failure tolerance.
func (d *Draft) StartWave(w Wave) *Refusal {
	p, ok := d.pools[w.Pool]
	if !ok {
		return refuse(fault.ReasonUnknownPool, "", "wave %q: pool %q is not declared", w.ID, w.Pool)
	}
	for _, other := range d.ledger.Waves {
		if other.Pool == w.Pool && !other.Ended() {
			return refuse(fault.ReasonPoolHasWave, "", "wave %q: wave %q of pool %q is still in progress", w.ID, other.ID, w.Pool)
		}
	}
	d.sections[p.section] = true
	d.ledger.Waves[w.ID] = w
	d.changed = true
	d.pruneWaves()
	return nil
}

// StopWave ends a wave. Hosts that are already out complete their steps; hosts
// not started stay in service.
func (d *Draft) StopWave(id, reason string) *Refusal {
	w, ok := d.ledger.Waves[id]
	if !ok {
		return refuse(fault.ReasonUnknownWave, "", "wave %q does not exist", id)
	}
	if w.StopReason != "" {
		return nil
	}
	w.StopReason = reason
	w.Pending = nil
	d.putWave(w)
	return nil
}

// RemovePending removes hosts that were granted, or that left the pool, from
// the pending hosts of a wave.
func (d *Draft) RemovePending(id string, hosts []string) {
	w, ok := d.ledger.Waves[id]
	if !ok || len(hosts) == 0 {
		return
	}
	removed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		removed[host] = true
	}
	w.Pending = slices.DeleteFunc(slices.Clone(w.Pending), func(host string) bool { return removed[host] })
	d.putWave(w)
}

func (d *Draft) countSuccessInWave(e LedgerEntry) {
	w, ok := d.ledger.Waves[e.Wave]
	if !ok || e.Cause == CauseFailed {
		return
	}
	w.Done = append(slices.Clip(w.Done), e.Host)
	took := max(d.snapshot.Now.Sub(e.GrantedAt), time.Millisecond)
	if w.MeanOutOfService == 0 {
		w.MeanOutOfService, w.ShortestOutOfService = took, took
	}
	w.MeanOutOfService += (took - w.MeanOutOfService) / meanWeightDivisor
	w.ShortestOutOfService = min(w.ShortestOutOfService, took)
	d.putWave(w)
}

// countFailureInWaves counts a failure in every wave in progress that has
// started the host. A host that fails after its return counts too, because the
// maintenance itself may be the cause.
func (d *Draft) countFailureInWaves(host string) {
	e := d.ledger.Entries[host]
	for id, w := range d.ledger.Waves {
		started := e.Wave == id || slices.Contains(w.Done, host)
		ended := w.StopReason != "" || w.Ended() && !d.waveHasHostsOut(id)
		if ended || !started || slices.Contains(w.Failed, host) {
			continue
		}
		w.Failed = append(slices.Clip(w.Failed), host)
		if i := slices.Index(w.Done, host); i >= 0 {
			w.Done = slices.Delete(slices.Clone(w.Done), i, i+1)
		}
		d.putWave(w)
	}
}

func (d *Draft) putWave(w Wave) {
	d.ledger.Waves[w.ID] = w
	d.changed = true
}

// pruneWaves deletes ended waves beyond maxEndedWaves, in order of their
// identifiers.
func (d *Draft) pruneWaves() {
	var ended []string
	for id, w := range d.ledger.Waves {
		if w.Ended() && !d.waveHasHostsOut(id) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for len(ended) > maxEndedWaves {
		delete(d.ledger.Waves, ended[0])
		ended = ended[1:]
	}
}

func (d *Draft) waveHasHostsOut(wave string) bool {
	for _, e := range d.ledger.Entries {
		if e.Wave == wave {
			return true
		}
	}
	return false
}
