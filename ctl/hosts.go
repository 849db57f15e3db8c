package ctl

import (
	"context"

	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

type hostCommands struct {
	List   *hostList   `arg:"subcommand:list" help:"list hosts with their pool and step"`
	Drain  *hostDrain  `arg:"subcommand:drain" help:"take a host out of service"`
	Return *hostReturn `arg:"subcommand:return" help:"put a host back into service"`
	Move   *hostMove   `arg:"subcommand:move" help:"move a host to another pool"`
	Forget *hostForget `arg:"subcommand:forget" help:"state that an entry host has ended"`
}

type hostList struct {
	Pool string `arg:"--pool" help:"pool whose hosts to list; all when not given" placeholder:"POOL" unit:"name" range:"the name of a pool, or empty"`
}

type hostDrain struct {
	Host  string `arg:"positional" help:"host to take out of service" placeholder:"HOST" unit:"name" range:"the name of a host"`
	Cause string `arg:"--cause" default:"drain" help:"what happens to the host" placeholder:"CAUSE" unit:"name" range:"drain or reboot"`
}

type hostReturn struct {
	Host string `arg:"positional" help:"host to put back into service" placeholder:"HOST" unit:"name" range:"the name of a host"`
}

type hostMove struct {
	Host   string `arg:"positional" help:"host to move" placeholder:"HOST" unit:"name" range:"the name of a host"`
	ToPool string `arg:"positional" help:"pool that gets the host" placeholder:"POOL" unit:"name" range:"the name of a pool"`
}

type hostForget struct {
	Member string `arg:"positional" help:"entry host that has ended; the statement must be true, because others use its rights and trust their keys without it" placeholder:"ENTRY-HOST" unit:"name" range:"the name of an entry host"`
}

func (*hostList) check(*settings.Checker)       {}
func (c *hostReturn) check(k *settings.Checker) { require(k, "HOST", c.Host) }
func (c *hostForget) check(k *settings.Checker) { require(k, "ENTRY-HOST", c.Member) }

func (c *hostDrain) check(k *settings.Checker) {
	require(k, "HOST", c.Host)
	if c.Cause != "drain" && c.Cause != "reboot" {
		k.Reject("--cause", c.Cause)
	}
}

func (c *hostMove) check(k *settings.Checker) {
	require(k, "HOST", c.Host)
	require(k, "POOL", c.ToPool)
}

func (c *hostList) run(ctx context.Context, s *session) error {
	resp, err := listHosts(ctx, s, c.Pool)
	if err != nil {
		return err
	}
	return s.out.value(resp, func(r row) { hostTable(r, resp.Hosts...) })
}

func listHosts(ctx context.Context, s *session, pool string) (*wirev1.ListHostStatusResponse, error) {
	return call(ctx, s, reads, fuchsiafrontv1connect.AdminServiceClient.ListHostStatus, &wirev1.ListHostStatusRequest{Pool: pool})
}

func hostTable(r row, hosts ...*wirev1.HostStatus) {
	r("HOST", "KIND", "ZONE", "RACK", "PHASE", "POOL", "STEP", "CAUSE", "WAVE")
	for _, h := range hosts {
		r(h.Name, dash(h.Kind), dash(h.Zone), dash(h.Rack), dash(h.Phase), dash(h.Pool), dash(h.Step), dash(h.Cause), dash(h.Wave))
	}
}

func (c *hostDrain) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, changesState, fuchsiafrontv1connect.AdminServiceClient.Drain, &wirev1.DrainRequest{ChangeId: s.changeID, Host: c.Host, Cause: c.Cause})
	if err != nil {
		return err
	}
	return s.out.value(resp, func(r row) { hostTable(r, resp.Host) })
}

func (c *hostReturn) run(ctx context.Context, s *session) error {
	_, err := call(ctx, s, changesState, fuchsiafrontv1connect.AdminServiceClient.Return, &wirev1.ReturnRequest{ChangeId: s.changeID, Host: c.Host})
	if err != nil {
		return err
	}
	return s.out.line("host %s returns to service", c.Host)
}

func (c *hostMove) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, changesState, fuchsiafrontv1connect.AdminServiceClient.Move, &wirev1.MoveRequest{ChangeId: s.changeID, Host: c.Host, ToPool: c.ToPool})
	if err != nil {
		return err
	}
	return s.out.value(resp, func(r row) { hostTable(r, resp.Host) })
}

func (c *hostForget) run(ctx context.Context, s *session) error {
	_, err := call(ctx, s, changesState, fuchsiafrontv1connect.AdminServiceClient.ForgetHost, &wirev1.ForgetHostRequest{ChangeId: s.changeID, Member: c.Member})
	if err != nil {
		return err
	}
	return s.out.line("entry host %s counts as ended", c.Member)
}

type poolCommands struct {
	List *poolList `arg:"subcommand:list" help:"list pools with their hosts and budget"`
}

type poolList struct{}

// listedPool is one row of pool list.
type listedPool struct {
	Pool           string `json:"pool"`
	Kind           string `json:"kind"`
	Spare          bool   `json:"spare"`
	Hosts          int    `json:"hosts"`
	Out            int    `json:"out"`
	MaxUnavailable int    `json:"maxUnavailable"`
}

func (*poolList) check(*settings.Checker) {}

func (*poolList) run(ctx context.Context, s *session) error {
	resp, err := getDocument(ctx, s)
	if err != nil {
		return err
	}
	d, err := decodeDocument(resp)
	if err != nil {
		return err
	}
	hosts, err := listHosts(ctx, s, "")
	if err != nil {
		return err
	}
	pools := []listedPool{}
	for _, p := range d.Pools() {
		listed := listedPool{Pool: p.Name, Kind: string(p.Kind), Spare: p.Spare, MaxUnavailable: p.MaxUnavailable}
		for _, h := range hosts.Hosts {
			if h.Pool == p.Name {
				listed.Hosts++
				listed.Out += outOfService(h)
			}
		}
		pools = append(pools, listed)
	}
	return s.out.value(pools, func(r row) {
		r("POOL", "KIND", "SPARE", "HOSTS", "OUT", "MAX OUT")
		for _, p := range pools {
			r(p.Pool, p.Kind, p.Spare, p.Hosts, p.Out, p.MaxUnavailable)
		}
	})
}

// outOfService counts a host that is in the ledger, failed or missing.
func outOfService(h *wirev1.HostStatus) int {
	if h.Step != "" || h.Phase == "failed" || h.Phase == "missing" {
		return 1
	}
	return 0
}
