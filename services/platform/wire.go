package platform

import (
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

func rowsFromWire(in []*wirev1.Row) []services.Row {
	rows := make([]services.Row, len(in))
	for i, r := range in {
		rows[i] = services.Row{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	return rows
}

func transactionToWire(tx services.Transaction) *wirev1.CommitRequest {
	req := &wirev1.CommitRequest{}
	for _, c := range tx.Conditions {
		req.Conditions = append(req.Conditions, &wirev1.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range tx.Writes {
		req.Writes = append(req.Writes, &wirev1.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return req
}

func hostsFromWire(in []*wirev1.Host) []fleet.Host {
	hosts := make([]fleet.Host, len(in))
	for i, h := range in {
		hosts[i] = fleet.Host{
			Name:    h.Name,
			Kind:    fleet.HostKind(h.Kind),
			Zone:    fleet.AvailabilityZone(h.Zone),
			Rack:    h.Rack,
			Address: h.Address,
			Phase:   fleet.HostPhase(h.Phase),
			Slots:   int(h.Slots),
			Capacity: fleet.Resources{
				MilliCPU:     h.Capacity.GetMilliCpu(),
				MemoryBytes:  h.Capacity.GetMemoryBytes(),
				Accelerators: h.Capacity.GetAccelerators(),
			},
		}
	}
	return hosts
}
