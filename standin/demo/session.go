package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fleet"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

const (
	pollInterval = 200 * time.Millisecond
	// stepTimeout bounds each step of the session that waits for others.
	stepTimeout   = 30 * time.Second
	requestCount  = 4
	drainedServer = "klang-quotes-01"
)

// session is the work of one operator and one team's callers.
type session struct {
	operator keyring.PresentedKey
	key      keyring.PresentedKey
	admin    fuchsiafrontv1connect.AdminServiceClient
}

func newSession(operator keyring.PresentedKey) *session {
	return &session{
		operator: operator,
		key:      newKey("sales"),
		admin:    fuchsiafrontv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+hosts[0].adminAddress),
	}
}

// run carries out the session; each step prints what it does and sees.
func (s *session) run(ctx context.Context) error {
	steps := []func(context.Context) error{s.apply, s.request, s.job, s.drain, s.withdraw}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) section() document.Section {
	return document.Section{
		Name: "sales",
		Pools: []document.Pool{
			{Name: "quotes", Kind: fleet.KindBackendServer, Adopt: []string{"*-quotes-*"}, MaxUnavailable: 1},
			{Name: "sorting", Kind: fleet.KindWorker, Adopt: []string{"*-worker-*"}, MaxUnavailable: 1},
		},
		Teams: []document.Team{{Name: "sales", Share: 1, Limit: 20, Keys: []document.Key{s.key.StoredForm(salt)}}},
		Queues: []document.Queue{
			{Name: "quotes", Team: "sales", Pool: "quotes", Class: fleet.ClassInteractive},
			{Name: "sorting", Team: "sales", Pool: "sorting", Class: fleet.ClassBatch},
		},
	}
}

func (s *session) apply(ctx context.Context) error {
	text, err := yamldoc.Encode(s.section())
	if err != nil {
		return err
	}
	fmt.Printf("\n== the operator applies a section\n%s", text)
	req := authorized(s, &wirev1.ApplyRequest{
		ChangeId: "demo-apply",
		Changes:  []*wirev1.SectionChange{{Name: "sales", Yaml: string(text)}},
	})
	// A host accepts changes once it has the state and its peers confirmed it.
	return eventually(ctx, func() (bool, error) {
		resp, err := s.admin.Apply(ctx, req)
		if connect.CodeOf(err) == connect.CodeUnavailable {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		fmt.Println("accepted as revision", resp.Msg.Revision)
		return true, nil
	})
}

func (s *session) request(ctx context.Context) error {
	fmt.Println("\n== a caller sends requests through both entry hosts")
	for i := range requestCount {
		h := hosts[i%len(hosts)]
		body := fmt.Sprintf(`{"workMs":30,"echo":"quote %d"}`, i+1)
		err := eventually(ctx, func() (bool, error) {
			status, err := s.call(ctx, h, http.MethodPost, "/v1/queues/quotes/requests", s.key.Format(), body)
			return status == http.StatusOK, err
		})
		if err != nil {
			return err
		}
	}
	_, err := s.call(ctx, hosts[0], http.MethodPost, "/v1/queues/quotes/requests", "ff.sales.k1.wrong", `{}`)
	return err
}

func (s *session) job(ctx context.Context) error {
	fmt.Println("\n== the caller submits a job and reads its result at the other entry host")
	payload, err := json.Marshal(map[string]any{"runMs": 500, "output": "42 crates sorted"})
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{
		"resources": fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30},
		"payload":   payload,
	})
	if err != nil {
		return err
	}
	var submitted struct{ ID string }
	answer, err := s.send(ctx, hosts[0], http.MethodPost, "/v1/queues/sorting/jobs", s.key.Format(), string(body))
	if err != nil {
		return err
	}
	fmt.Printf("%s answers %d: %s\n", hosts[0].name, answer.status, answer.body)
	if err := json.Unmarshal(answer.body, &submitted); err != nil {
		return err
	}
	return eventually(ctx, func() (bool, error) {
		answer, err := s.send(ctx, hosts[1], http.MethodGet, "/v1/jobs/"+submitted.ID+"/result", s.key.Format(), "")
		if err != nil || answer.status != http.StatusOK {
			return false, err
		}
		fmt.Printf("%s answers %d: %s\n", hosts[1].name, answer.status, answer.body)
		return true, nil
	})
}

func (s *session) drain(ctx context.Context) error {
	fmt.Printf("\n== the operator reboots backend server %s within the pool's budget\n", drainedServer)
	_, err := s.admin.Drain(ctx, authorized(s, &wirev1.DrainRequest{ChangeId: "demo-drain", Host: drainedServer, Cause: "reboot"}))
	if err != nil {
		return err
	}
	_, err = s.admin.Drain(ctx, authorized(s, &wirev1.DrainRequest{ChangeId: "demo-drain-2", Host: "klang-quotes-02"}))
	fmt.Println("a second host at the same time:", err)
	last := ""
	return eventually(ctx, func() (bool, error) {
		resp, err := s.admin.ListHostStatus(ctx, authorized(s, &wirev1.ListHostStatusRequest{Pool: "quotes"}))
		if err != nil {
			return false, err
		}
		for _, h := range resp.Msg.Hosts {
			if h.Name == drainedServer && h.Step != last {
				last = h.Step
				fmt.Printf("%s: %s\n", drainedServer, stepText(last))
			}
		}
		return last == "", nil
	})
}

func stepText(step string) string {
	if step == "" {
		return "in service"
	}
	return step
}

func (s *session) withdraw(ctx context.Context) error {
	fmt.Println("\n== the operator withdraws the key")
	resp, err := s.admin.WithdrawKey(ctx, authorized(s, &wirev1.WithdrawKeyRequest{ChangeId: "demo-withdraw", Team: "sales", KeyId: s.key.ID}))
	if err != nil {
		return err
	}
	began := time.Now()
	err = eventually(ctx, func() (bool, error) {
		rollout, err := s.admin.Rollout(ctx, authorized(s, &wirev1.RolloutRequest{Revision: resp.Msg.Revision}))
		if err != nil {
			return false, err
		}
		return rollout.Msg.InForce, nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("revision %d is in force on all entry hosts after %v\n", resp.Msg.Revision, time.Since(began).Round(time.Millisecond))
	for _, h := range hosts {
		if _, err := s.call(ctx, h, http.MethodPost, "/v1/queues/quotes/requests", s.key.Format(), `{}`); err != nil {
			return err
		}
	}
	return nil
}

func authorized[T any](s *session, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+s.operator.Format())
	return req
}

// eventually repeats try until it reports true, an error, or the time is over.
func eventually(ctx context.Context, try func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		done, err := try()
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

type response struct {
	status int
	body   []byte
}

func (s *session) send(ctx context.Context, h demoHost, method, path, key, body string) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress+path, bytes.NewBufferString(body))
	if err != nil {
		return response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, bytes.TrimSpace(text)}, err
}

// call sends one call and prints its answer.
func (s *session) call(ctx context.Context, h demoHost, method, path, key, body string) (status int, err error) {
	began := time.Now()
	a, err := s.send(ctx, h, method, path, key, body)
	if err != nil {
		return 0, err
	}
	fmt.Printf("%s answers %d after %v: %s\n", h.name, a.status, time.Since(began).Round(time.Millisecond), a.body)
	return a.status, nil
}
