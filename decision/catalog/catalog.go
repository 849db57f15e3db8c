// Package catalog holds the configuration in force: queues, services, tenants
// and their keys. A catalog is immutable; a newer version replaces it.
package catalog

import (
	"crypto/sha256"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64              `json:"Version"`
	Queues   []Queue            `json:"Queues"`
	Services map[string]Service `json:"Services"`
	Tenants  map[string]Tenant  `json:"Tenants"`

	byHost  map[string][]*Queue
	byName  map[string]*Queue
	byPlace map[Place]*Queue
	// byKey has the tenants by the digest of a key, so that the time of a look-up
	// tells nothing about the keys.
	byKey map[[sha256.Size]byte]string
}

// Queue carries work to the executors of one service.
type Queue struct {
	Name string `json:"Name"`
	Place
	Service string `json:"Service"`
	// Public queues need no key.
	Public  bool          `json:"Public"`
	Timeout time.Duration `json:"Timeout"`
	Terms
}

// Place is where callers address a queue.
type Place struct {
	Host       string `json:"Host"`
	PathPrefix string `json:"PathPrefix"`
}

// Terms are what the jobs of a queue are judged by after they were accepted.
type Terms struct {
	// Priority zero is served first and may preempt other queues.
	Priority    int `json:"Priority"`
	MaxAttempts int `json:"MaxAttempts"`
	// SlackFactor times the duration of the longest chain of steps, plus
	// LatencyTarget, is the objective for a job's completion.
	SlackFactor   float64       `json:"Slack"`
	LatencyTarget time.Duration `json:"LatencyTarget"`
	// Advice is set when another service decides which executors may run a
	// step.
	Advice *Advice `json:"Advice"`
}

// Origin is the queue that accepted a job, as it was then. It is kept with the job,
// because a later version of the configuration may rename, move or remove the queue.
type Origin struct {
	Name string
	Place
	Terms
}

// Origin returns the queue as the origin of a job that it accepts now.
func (q *Queue) Origin() Origin { return Origin{q.Name, q.Place, q.Terms} }

// Advice has the timing of the advice service for one queue.
type Advice struct {
	DecisionTime    time.Duration `json:"Decision"`
	TimePerExecutor time.Duration `json:"PerExecutor"`
	Validity        time.Duration `json:"Validity"`
}

// Service is a pool of executors.
type Service struct {
	Name string `json:"Name"`
	// Standby is set if the pool's machines are off and free of cost.
	Standby bool `json:"Standby"`
	// AdmissionCheck is set if executors reject tasks that do not fit.
	AdmissionCheck bool   `json:"AdmissionCheck"`
	HealthPath     string `json:"HealthPath"`
	MaxConnections int    `json:"MaxConnections"`
}

// Tenant has keys, a share (Weight) and an upper limit (Maximum).
type Tenant struct {
	Name    string          `json:"Name"`
	Keys    []string        `json:"Keys"`
	Weight  float64         `json:"Weight"`
	Maximum fleet.Resources `json:"Maximum"`
}

// New returns a catalog with its indexes built.
func New(version int64, queues []Queue, services []Service, tenants []Tenant) *Catalog {
	c := &Catalog{
		Version:  version,
		Queues:   queues,
		Services: make(map[string]Service, len(services)),
		Tenants:  make(map[string]Tenant, len(tenants)),
		byHost:   make(map[string][]*Queue),
		byName:   make(map[string]*Queue, len(queues)),
		byPlace:  make(map[Place]*Queue, len(queues)),
		byKey:    make(map[[sha256.Size]byte]string),
	}
	for i := range queues {
		q := &queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		if c.byName[q.Name] == nil {
			c.byName[q.Name] = q
		}
		if c.byPlace[q.Place] == nil {
			c.byPlace[q.Place] = q
		}
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, t := range tenants {
		c.Tenants[t.Name] = t
		for _, key := range t.Keys {
			c.byKey[sha256.Sum256([]byte(key))] = t.Name
		}
	}
	return c
}

// Route returns the queue of host with the longest prefix of path, and the rest
// of the path. A port in host is ignored.
func (c *Catalog) Route(host, path string) (queue *Queue, rest string, ok bool) {
	for _, q := range c.byHost[withoutPort(host)] {
		if !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if queue == nil || len(q.PathPrefix) > len(queue.PathPrefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.PathPrefix):], true
}

// withoutPort returns host without its port. An IPv6 address is in brackets.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || i < strings.LastIndexByte(host, ']') {
		return host
	}
	return host[:i]
}

// Queue returns the queue with the given name.
func (c *Catalog) Queue(name string) (*Queue, bool) {
	q := c.byName[name]
	return q, q != nil
}

// QueueOf returns the queue that stands for the origin of a job now: the one of that
// name, or else the one that has replaced it at its place.
func (c *Catalog) QueueOf(o *Origin) (*Queue, bool) {
	q := c.byName[o.Name]
	if q == nil {
		q = c.byPlace[o.Place]
	}
	return q, q != nil
}

// TermsOf returns the terms that hold for jobs of an origin: those of the queue that
// stands for it now, or those under which the job was accepted if there is none.
func (c *Catalog) TermsOf(o *Origin) *Terms {
	if q, ok := c.QueueOf(o); ok {
		return &q.Terms
	}
	return &o.Terms
}

// Authenticate returns the tenant that holds key.
func (c *Catalog) Authenticate(key string) (tenant string, ok bool) {
	tenant, ok = c.byKey[sha256.Sum256([]byte(key))]
	return tenant, ok
}
