package ctl

import (
	"context"
	"errors"
	"fmt"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// Sizes of what a new key is made of, in bytes.
const (
	keyIDBytes  = 4
	secretBytes = 32
	saltBytes   = 16
)

type keyCommands struct {
	Create   *keyCreateCommand   `arg:"subcommand:create" help:"create a key of a team and print it once"`
	Withdraw *keyWithdrawCommand `arg:"subcommand:withdraw" help:"withdraw a key of a team"`
	List     *keyListCommand     `arg:"subcommand:list" help:"list keys of teams"`
}

type keyCreateCommand struct {
	Team string `arg:"positional" help:"team that gets the key" placeholder:"TEAM" unit:"name" range:"the name of a team"`
	Wait bool   `arg:"--wait" help:"wait until the key works on all entry hosts"`
}

type keyWithdrawCommand struct {
	Team  string `arg:"positional" help:"team that has the key" placeholder:"TEAM" unit:"name" range:"the name of a team"`
	KeyID string `arg:"positional" help:"identifier of the key" placeholder:"KEY-ID" unit:"identifier" range:"the identifier of a key of the team"`
	Wait  bool   `arg:"--wait" help:"wait until no entry host accepts the key any more"`
}

type keyListCommand struct {
	Team string `arg:"--team" help:"team whose keys to list; all when not given" placeholder:"TEAM" unit:"name" range:"the name of a team, or empty"`
}

type operatorCommands struct {
	CreateKey *operatorCreateKeyCommand `arg:"subcommand:create-key" help:"make an operator key and print it and its stored form once; calls no entry host"`
}

type operatorCreateKeyCommand struct {
	Name string `arg:"positional" default:"bootstrap" help:"operator that gets the key; the setting --bootstrap-key admits the operator bootstrap" placeholder:"NAME" unit:"name" range:"1 to 63 letters, digits, '-' or '_'"`
}

func (c *keyCreateCommand) check(k *settings.Checker) { requireArgument(k, "TEAM", c.Team) }
func (*keyListCommand) check(*settings.Checker)       {}
func (*operatorCreateKeyCommand) offline()            {}
func (c *keyWithdrawCommand) check(k *settings.Checker) {
	requireArgument(k, "TEAM", c.Team)
	requireArgument(k, "KEY-ID", c.KeyID)
}

func (c *operatorCreateKeyCommand) check(k *settings.Checker) {
	if !document.ValidName(c.Name) {
		k.Reject("NAME", c.Name)
	}
}

func generateKey(holder string) (keyring.PresentedKey, document.Key) {
	p := keyring.PresentedKey{Holder: holder, ID: "k" + randomHex(keyIDBytes), Secret: randomHex(secretBytes)}
	return p, p.StoredForm(randomHex(saltBytes))
}

// createdKey is the result of key create. It is the only place where the
// secret of the key is printed.
type createdKey struct {
	Key      string `json:"key"`
	ID       string `json:"id"`
	Team     string `json:"team"`
	Revision uint64 `json:"revision,omitempty"`
	Outcome  string `json:"outcome"`
}

// run generates the key here, so that a lost reply loses nothing: the key is
// printed also when it is not known whether it was accepted. It refuses a
// change identifier from the command line, because a repeat of the command
// makes another key.
func (c *keyCreateCommand) run(ctx context.Context, s *session) error {
	if s.settings.ChangeID != "" {
		return newExitError(exitUsage, "create key", "--change-id %q is not allowed here, because each run makes another key; want no --change-id", s.settings.ChangeID)
	}
	presented, stored := generateKey(c.Team)
	resp, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.CreateKey, &wirev1.CreateKeyRequest{
		ChangeId: s.changeID, Team: c.Team, KeyId: stored.ID, Salt: stored.Salt, Hash: stored.Hash,
	})
	created := createdKey{Key: presented.Format(), ID: stored.ID, Team: c.Team, Outcome: "accepted"}
	var failed *exitError
	if errors.As(err, &failed) && failed.status == exitUnknown {
		created.Outcome = "unknown"
		printKey(s, created)
		return &exitError{exitUnknown, fmt.Errorf("%w; \"key list --team %s\" shows whether key %s was accepted", failed.err, c.Team, stored.ID)}
	}
	if err != nil {
		return err
	}
	created.Revision = resp.Revision
	if err := printKey(s, created); err != nil || !c.Wait {
		return err
	}
	return waitInForce(ctx, s, resp.Revision)
}

func printKey(s *session, k createdKey) error {
	return s.out.print(k, func(r printRow) {
		r("key, shown only now:", k.Key)
		r("identifier:", k.ID)
		r("team:", k.Team)
		r("outcome:", k.Outcome)
	})
}

func (c *keyWithdrawCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.WithdrawKey, &wirev1.WithdrawKeyRequest{
		ChangeId: s.changeID, Team: c.Team, KeyId: c.KeyID,
	})
	if err != nil {
		return err
	}
	err = s.out.print(resp, func(r printRow) {
		r(fmt.Sprintf("withdrawal accepted as revision %d; it is in force once every entry host has it or has stopped keyed work", resp.Revision))
	})
	if err != nil || !c.Wait {
		return err
	}
	return waitInForce(ctx, s, resp.Revision)
}

// listedKey is one row of key list.
type listedKey struct {
	Team      string `json:"team"`
	ID        string `json:"id"`
	Withdrawn bool   `json:"withdrawn"`
}

func (c *keyListCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListTeams, &wirev1.ListTeamsRequest{})
	if err != nil {
		return err
	}
	keys := []listedKey{}
	for _, t := range resp.Teams {
		if c.Team != "" && c.Team != t.Team {
			continue
		}
		for _, id := range t.KeyIds {
			keys = append(keys, listedKey{t.Team, id, false})
		}
		for _, id := range t.WithdrawnKeyIds {
			keys = append(keys, listedKey{t.Team, id, true})
		}
	}
	return s.out.print(keys, func(r printRow) {
		r("TEAM", "KEY", "STATE")
		for _, k := range keys {
			state := "accepted"
			if k.Withdrawn {
				state = "withdrawn"
			}
			r(k.Team, k.ID, state)
		}
	})
}

// createdOperatorKey is the result of operator create-key.
type createdOperatorKey struct {
	Key      string `json:"key"`
	Operator string `json:"operator"`
	// Setting is the value of the setting --bootstrap-key.
	Setting string `json:"setting"`
	// Section is the entry in the section operators.
	Section string `json:"section"`
}

func (c *operatorCreateKeyCommand) run(_ context.Context, s *session) error {
	presented, stored := generateKey(c.Name)
	created := createdOperatorKey{
		Key:      presented.Format(),
		Operator: c.Name,
		Setting:  stored.ID + ":" + stored.Salt + ":" + stored.Hash,
		Section:  fmt.Sprintf("key: {id: %q, salt: %q, hash: %q}", stored.ID, stored.Salt, stored.Hash),
	}
	return s.out.print(created, func(r printRow) {
		r("key, shown only now:", created.Key)
		r("setting --bootstrap-key:", created.Setting)
		r("section operators:", created.Section)
	})
}
