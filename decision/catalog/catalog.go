// Package catalog holds the configuration in force: queues, services, tenants
// and their keys. A catalog never changes; a newer version replaces it.
package catalog

import (
	"crypto/subtle"
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

	byHost map[string][]*Queue
	byName map[string]*Queue
	byKey  map[string]string
}

// Queue carries work to the executors of one service.
type Queue struct {
	Name       string `json:"Name"`
	Host       string `json:"Host"`
	PathPrefix string `json:"PathPrefix"`
	Service    string `json:"Service"`
	// Public queues need no key.
	Public bool `json:"Public"`
	// Priority zero comes first and may preempt others.
	Priority    int `json:"Priority"`
	MaxAttempts int `json:"MaxAttempts"`
	// SlackFactor times the longest chain of work, and LatencyTarget more, is the
	// objective of a job.
	SlackFactor   float64       `json:"Slack"`
	LatencyTarget time.Duration `json:"LatencyTarget"`
	Timeout       time.Duration `json:"Timeout"`
	// Advice is set when another service decides which executors may run a
	// step.
	Advice *Advice `json:"Advice"`
}

// Advice holds the times of the advice service for one queue.
type Advice struct {
	DecisionTime    time.Duration `json:"Decision"`
	TimePerExecutor time.Duration `json:"PerExecutor"`
	Validity        time.Duration `json:"Validity"`
}

// Service is a pool of executors.
type Service struct {
	Name string `json:"Name"`
	// Standby tells that the pool's machines are off and free of cost.
	Standby bool `json:"Standby"`
	// AdmissionCheck tells that executors reject what does not fit.
	AdmissionCheck bool   `json:"AdmissionCheck"`
	HealthPath     string `json:"HealthPath"`
	MaxConnections int    `json:"MaxConnections"`
}

// Tenant owns keys, a share and an upper limit.
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
		byKey:    make(map[string]string),
	}
	for i := range queues {
		q := &queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		if c.byName[q.Name] == nil {
			c.byName[q.Name] = q
		}
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, t := range tenants {
		c.Tenants[t.Name] = t
		for _, key := range t.Keys {
			c.byKey[key] = t.Name
		}
	}
	return c
}

// Route returns the queue whose host is the given one and whose prefix is the
// longest that path begins with, and the rest of the path.
func (c *Catalog) Route(host, path string) (queue *Queue, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range c.byHost[host] {
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

// Queue returns the queue with the given name.
func (c *Catalog) Queue(name string) (*Queue, bool) {
	q := c.byName[name]
	return q, q != nil
}

// Authenticate returns the tenant that holds key.
func (c *Catalog) Authenticate(key string) (tenant string, ok bool) {
	tenant, ok = c.byKey[key]
	if !ok {
		return "", false
	}
	for _, k := range c.Tenants[tenant].Keys {
		if subtle.ConstantTimeCompare([]byte(k), []byte(key)) == 1 {
			return tenant, true
		}
	}
	return "", false
}
