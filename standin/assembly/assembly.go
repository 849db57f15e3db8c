// Package assembly puts the stand-in together from its services.
package assembly

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	domain "fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/fleet"
	"fuchsiafront.example/fuchsiafront/standin/platform"
)

const hostsPerRack = 4

// Settings are the flags of fuchsiastandin.
type Settings struct {
	Address         string        `arg:"--address" default:"127.0.0.1:0" help:"IP:port of the platform" placeholder:"IP:PORT"`
	Zones           []string      `arg:"--zones" help:"availability zones as name=CIDR of the addresses in them" placeholder:"ZONE"`
	BackendServices []string      `arg:"--backend-services" help:"services as name=servers per zone" placeholder:"SERVICE"`
	WorkersPerZone  int           `arg:"--workers-per-zone" default:"0" help:"workers in each zone"`
	WorkerCores     int           `arg:"--worker-cores" default:"32" help:"cores of each worker; it has 2 GB of memory a core"`
	Slots           int           `arg:"--slots" default:"8" help:"slots of each backend server"`
	DefaultWork     time.Duration `arg:"--default-work" default:"20ms" help:"run time of requests whose body names none"`
	HostListLag     time.Duration `arg:"--host-list-lag" default:"2s" help:"age of the host list"`
}

// Assemble returns a kernel with the stand-in's services, and the platform,
// whose URL is known once the kernel has started.
func Assemble(s Settings, log zerolog.Logger) (*kernel.Kernel, *platform.Service, error) {
	zones, names, err := parseZones(s.Zones)
	if err != nil {
		return nil, nil, err
	}
	servers, err := backendServers(s, names)
	if err != nil {
		return nil, nil, err
	}
	k := kernel.New(log, nil)
	p := platform.New(platform.Settings{Address: s.Address, Zones: zones, HostListLag: s.HostListLag})
	k.Register(standin.NamePlatform, p)
	k.Register(standin.NameFleet, fleet.New(fleet.Settings{
		BackendServers: servers,
		Workers:        workers(s, names),
		DefaultWork:    s.DefaultWork,
		Zones:          zones,
	}))
	return k, p, nil
}

func parseZones(in []string) (map[string]netip.Prefix, []string, error) {
	zones := make(map[string]netip.Prefix, len(in))
	var names []string
	for _, text := range in {
		name, cidr, _ := strings.Cut(text, "=")
		prefix, err := netip.ParsePrefix(cidr)
		if err != nil {
			return nil, nil, fmt.Errorf("--zones %q: want name=CIDR: %w", text, err)
		}
		zones[name] = prefix
		names = append(names, name)
	}
	return zones, names, nil
}

func backendServers(s Settings, zones []string) ([]domain.Host, error) {
	var hosts []domain.Host
	for _, text := range s.BackendServices {
		name, number, _ := strings.Cut(text, "=")
		count, err := strconv.Atoi(number)
		if err != nil || count < 1 {
			return nil, fmt.Errorf("--backend-services %q: want name=servers per zone", text)
		}
		for _, zone := range zones {
			for i := range count {
				hosts = append(hosts, backendServer(s, name, zone, i))
			}
		}
	}
	return hosts, nil
}

func backendServer(s Settings, service, zone string, index int) domain.Host {
	return domain.Host{
		Name:    fmt.Sprintf("%s-%s-%02d", zone, service, index+1),
		Kind:    domain.KindBackendServer,
		Zone:    domain.AvailabilityZone(zone),
		Rack:    fmt.Sprintf("%s-rack-%02d", zone, index/hostsPerRack+1),
		Address: "127.0.0.1:0",
		Phase:   domain.PhaseLive,
		Slots:   s.Slots,
	}
}

const (
	milliCPUPerCore    = 1000
	memoryBytesPerCore = 2 << 30
)

func workers(s Settings, zones []string) []domain.Host {
	var hosts []domain.Host
	for _, zone := range zones {
		for i := range s.WorkersPerZone {
			hosts = append(hosts, domain.Host{
				Name:  fmt.Sprintf("%s-worker-%02d", zone, i+1),
				Kind:  domain.KindWorker,
				Zone:  domain.AvailabilityZone(zone),
				Rack:  fmt.Sprintf("%s-worker-rack-%02d", zone, i/hostsPerRack+1),
				Phase: domain.PhaseLive,
				Capacity: domain.Resources{
					MilliCPU:    int64(s.WorkerCores) * milliCPUPerCore,
					MemoryBytes: int64(s.WorkerCores) * memoryBytesPerCore,
				},
			})
		}
	}
	return hosts
}
