// Package membership keeps this entry host's row among the members at the
// platform.
package membership

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	rowPrefix   = "member/"
	renewPeriod = 10 * time.Second
	scanLimit   = 500
)

// Service implements services.Membership.
type Service struct {
	self  services.Identity
	log   zerolog.Logger
	table services.Table

	members atomic.Pointer[[]services.Identity]
}

// New returns the service for the entry host self.
func New(self services.Identity) *Service { return &Service{self: self} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.table, err = kernel.Lookup[services.Table](c, services.NamePlatform); err != nil {
		return err
	}
	c.Duty("membership.renew", s.runRenew)
	return nil
}

func (s *Service) runRenew(ctx context.Context) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		if err := s.renew(ctx); err != nil {
			s.log.Warn().Err(err).Msg("member row not renewed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) renew(ctx context.Context) error {
	value, err := json.Marshal(s.self)
	if err != nil {
		return err
	}
	tx := services.Transaction{Writes: []services.Write{{Key: rowPrefix + s.self.Name, Value: value}}}
	if _, err := s.table.Commit(ctx, tx); err != nil {
		return err
	}
	rows, _, err := s.table.Scan(ctx, rowPrefix, "", scanLimit)
	if err != nil {
		return err
	}
	members := make([]services.Identity, 0, len(rows))
	for _, row := range rows {
		var m services.Identity
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return err
		}
		members = append(members, m)
	}
	s.members.Store(&members)
	return nil
}

// Self implements services.Membership.
func (s *Service) Self() services.Identity { return s.self }

// MayUseRights implements services.Membership.
func (s *Service) MayUseRights(time.Time) error { return nil }

// MayAcceptChanges implements services.Membership.
func (s *Service) MayAcceptChanges() error { return nil }

// Members implements services.Membership.
func (s *Service) Members() []services.Identity {
	if m := s.members.Load(); m != nil {
		return *m
	}
	return nil
}
