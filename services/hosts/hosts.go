// Package hosts keeps the latest copy of the platform's host list.
package hosts

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

const readPeriod = time.Second

// Service implements services.Hosts.
type Service struct {
	clock  services.Clock
	log    zerolog.Logger
	lister services.HostLister
	list   atomic.Pointer[fleet.HostList]
}

// New returns the service.
func New(clock services.Clock) *Service { return &Service{clock: clock} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	s.list.Store(&fleet.HostList{})
	var err error
	if s.lister, err = kernel.Lookup[services.HostLister](c, services.NamePlatform); err != nil {
		return err
	}
	c.Duty("hosts.list", s.runList)
	return nil
}

func (s *Service) runList(ctx context.Context) {
	ticker := time.NewTicker(readPeriod)
	defer ticker.Stop()
	for {
		asOf := s.clock()
		hosts, err := s.lister.ListHosts(ctx)
		if err != nil {
			s.log.Warn().Err(err).Msg("host list not read")
		} else {
			s.list.Store(&fleet.HostList{Hosts: hosts, AsOf: asOf})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Hosts implements services.Hosts.
func (s *Service) Hosts() *fleet.HostList { return s.list.Load() }

// ReportLeaving implements services.Hosts.
func (s *Service) ReportLeaving(string) {}
