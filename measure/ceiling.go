package measure

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/BurntSushi/toml"
)

// Site is what the ceiling needs of a site file of the users' bench. Its words for
// fields and kinds are the bench's own.
type Site struct {
	Name     string        `toml:"name"`
	LengthS  float64       `toml:"length_s"`
	Machines []siteMachine `toml:"machines"`
	Services []siteService `toml:"services"`
	Classes  []siteClass   `toml:"classes"`
	Traffic  []siteTraffic `toml:"traffic"`
	Prices   sitePrices    `toml:"prices"`
	Days     []siteDay     `toml:"day"`
}

type siteMachine struct {
	Count int `toml:"count"`
}

type siteService struct {
	Name    string `toml:"name"`
	Servers []struct {
		Count int `toml:"count"`
	} `toml:"servers"`
	Node struct {
		MilliCPU float64 `toml:"cpu"`
	} `toml:"node"`
}

type siteClass struct {
	Name    string       `toml:"name"`
	Service string       `toml:"service"`
	Worth   float64      `toml:"worth"`
	WorkMs  distribution `toml:"work_ms"`
	Jobs    *struct {
		Steps distribution `toml:"steps"`
		Width distribution `toml:"width"`
		CPU   distribution `toml:"cpu"`
	} `toml:"jobs"`
}

type distribution struct {
	Mean float64 `toml:"mean"`
}

type siteTraffic struct {
	Mix   map[string]float64 `toml:"mix"`
	PerS  float64            `toml:"per_s"`
	Shape struct {
		Kind  string  `toml:"kind"`
		Turns float64 `toml:"to"`
		Swing float64 `toml:"swing"`
	} `toml:"shape"`
}

type sitePrices struct {
	MachineS float64 `toml:"machine_s"`
	ServerS  float64 `toml:"server_s"`
}

type siteDay struct {
	Name    string        `toml:"name"`
	One     float64       `toml:"one"`
	Zero    float64       `toml:"zero"`
	Traffic []siteTraffic `toml:"traffic"`
}

// DayCeiling is what one standard day can earn at most, by its demand alone.
type DayCeiling struct {
	Site string `json:"Site"`
	Day  string `json:"Day"`
	// Payoff is the payoff of the day's requests that carry work with an end.
	Payoff float64 `json:"Owed"`
	// DemandCoreSeconds are the core-seconds of that work, Held those of all machines.
	DemandCoreSeconds   float64 `json:"Asked"`
	CapacityCoreSeconds float64 `json:"Held"`
	// MeanPeak is the demand while each queue has its turn, in multiples of what all
	// machines hold: the mean over the queues, and the worst.
	MeanPeak  float64 `json:"Peak"`
	WorstPeak float64 `json:"WorstPeak"`
	// UnservedShare is the share of Owed above what all machines hold at the peaks.
	UnservedShare float64 `json:"Unserved"`
	// EntryMachineShare and Pools are the prices of the entry machines, and of the least machines
	// in pools that do the work, as shares of Owed.
	EntryMachineShare float64 `json:"Own"`
	PoolMachineShare  float64 `json:"Pools"`
	// One and Zero are the site's marks of the day.
	One  float64 `json:"One"`
	Zero float64 `json:"Zero"`
}

// Ceiling is what is left of the payoff.
func (c DayCeiling) Ceiling() float64 {
	return 1 - c.UnservedShare - c.EntryMachineShare - c.PoolMachineShare
}

// ReadSite reads a site file.
func ReadSite(path string) (*Site, error) {
	site := new(Site)
	if _, err := toml.DecodeFile(path, site); err != nil {
		return nil, fmt.Errorf("read site %s: %w", path, err)
	}
	return site, nil
}

// Ceilings returns the ceiling of each standard day.
func (s *Site) Ceilings() []DayCeiling {
	var all []DayCeiling
	for _, day := range s.Days {
		all = append(all, s.ceiling(day))
	}
	return all
}

// poolCapacity returns what all machines of the pools hold, and how many there are.
func (s *Site) poolCapacity() (cores float64, machines int) {
	for _, service := range s.Services {
		for _, servers := range service.Servers {
			machines += servers.Count
			cores += float64(servers.Count) * service.Node.MilliCPU / 1000
		}
	}
	return cores, machines
}

// queueDemand is the work of one queue.
type queueDemand struct {
	payoffRate, coreDemand float64
	// turnFactor is the demand in the queue's turn in multiples of its mean.
	turnFactor, offTurnFactor float64
}

func (s *Site) ceiling(day siteDay) DayCeiling {
	traffic := day.Traffic
	if len(traffic) == 0 {
		traffic = s.Traffic
	}
	cores, machines := s.poolCapacity()
	c := DayCeiling{Site: s.Name, Day: day.Name, One: day.One, Zero: day.Zero, CapacityCoreSeconds: cores * s.LengthS}
	queues := make(map[string]*queueDemand)
	for _, t := range traffic {
		for name, share := range t.Mix {
			s.addClass(queues, t, name, share)
		}
	}
	worth, asked := 0.0, 0.0
	for _, q := range queues {
		worth += q.payoffRate
		asked += q.coreDemand
	}
	if worth == 0 {
		return c
	}
	c.Payoff, c.DemandCoreSeconds = worth*s.LengthS, asked*s.LengthS
	for _, q := range queues {
		peak := (q.coreDemand*q.turnFactor + (asked-q.coreDemand)*q.offTurnFactor) / cores
		c.MeanPeak += peak / float64(len(queues))
		c.WorstPeak = max(c.WorstPeak, peak)
		if peak > 1 {
			c.UnservedShare += q.payoffRate / worth * (1 - 1/peak)
		}
	}
	entries := 0
	for _, m := range s.Machines {
		entries += m.Count
	}
	c.EntryMachineShare = s.Prices.MachineS * float64(entries) / worth
	c.PoolMachineShare = s.Prices.ServerS * asked / (cores / float64(machines)) / worth
	return c
}

// addClass adds the work of one class. Work that lasts has no end, and no queue of its
// own in the traffic.
func (s *Site) addClass(queues map[string]*queueDemand, t siteTraffic, name string, share float64) {
	for _, class := range s.Classes {
		if class.Name != name || class.Jobs == nil {
			continue
		}
		q := queues[name]
		if q == nil {
			q = &queueDemand{turnFactor: 1, offTurnFactor: 1}
			queues[name] = q
		}
		if t.Shape.Kind == "turns" && t.Shape.Turns > 0 {
			// Between its turns a queue asks for swing of its mean.
			q.offTurnFactor = t.Shape.Swing
			q.turnFactor = t.Shape.Turns - (t.Shape.Turns-1)*t.Shape.Swing
		}
		perS := t.PerS * share
		q.payoffRate += perS * class.Worth
		q.coreDemand += perS * class.Jobs.Steps.Mean * class.Jobs.Width.Mean * class.Jobs.CPU.Mean / 1000 * class.WorkMs.Mean / 1000
	}
}

// CeilingTable prints ceilings.
func CeilingTable(all []DayCeiling) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "site\tday\towed\tasked/held\tpeak, mean\tpeak, worst\tunserved\town machines\tpools\tceiling\tzero\tone")
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
			c.Site, c.Day, c.Payoff, c.DemandCoreSeconds/c.CapacityCoreSeconds, c.MeanPeak, c.WorstPeak, c.UnservedShare, c.EntryMachineShare, c.PoolMachineShare, c.Ceiling(), c.Zero, c.One)
	}
	w.Flush()
	return b.String()
}
