//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// casePending: one executor of nine refuses all starts for 6.5 s while the others are
// full and more jobs come.
func casePending(w *world) {
	const (
		service    = "s1"
		refuseTime = 6500 * time.Millisecond
		// visibleTime is visible_ms and the 2 s that the rule adds.
		visibleTime = 5 * time.Second
	)
	w.configure([]string{service}, map[string]int{"t1": 0})
	var list []*executor
	for n := range 9 {
		list = append(list, w.addExecutor(service, fmt.Sprintf("m-%d", n), "z1", fmt.Sprintf("r1-%d", n/4), 32000))
	}
	for n := range 3 {
		w.addHost(fmt.Sprintf("h%d", n), fmt.Sprintf("z%d", n))
	}
	w.waitReady()
	time.Sleep(2 * time.Second)
	for range 8 {
		w.submit(w.hosts, service, "t1", "ms=60000", step{Count: 8, CPU: 4000, MemMB: 1000, EstimateMs: 60000})
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Second)
	idle := list[0]
	for _, x := range list {
		x.mu.Lock()
		if len(x.runs) < len(idle.runs) {
			idle = x
		}
		x.mu.Unlock()
	}
	refuse := func(on bool) {
		idle.mu.Lock()
		idle.refuses = on
		idle.mu.Unlock()
	}
	if w.trouble {
		refuse(true)
		w.logf("executor %s answers all starts with 503 from now on", idle.id)
	}
	refusesUntil := time.Now().Add(refuseTime)
	var waiting []*jobInfo
	for range 10 {
		waiting = append(waiting, w.submit(w.hosts, service, "t1", "ms=60000", step{Count: 1, CPU: 4000, MemMB: 1000, EstimateMs: 60000}))
	}
	for time.Now().Before(refusesUntil.Add(-150 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		w.checkPending(service, waiting, visibleTime)
	}
	refuse(false)
	w.logf("executor %s works again", idle.id)
	time.Sleep(3 * time.Second)
	w.checkPending(service, waiting, visibleTime)
}

// checkPending asks all hosts for the number of pending jobs.
func (w *world) checkPending(service string, waiting []*jobInfo, visible time.Duration) {
	count := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := 0
		for _, j := range waiting {
			if !j.accepted.IsZero() && time.Since(j.accepted) > visible && !j.begun {
				n++
			}
		}
		return n
	}
	if count() == 0 {
		return
	}
	for _, h := range w.hosts {
		status, body := h.call("GET", "/"+service+"/", "t1", nil)
		var answer struct {
			Pending int `json:"pending"`
		}
		// Counted after the answer: what has begun meanwhile doesn't count.
		due := count()
		if status != 200 || json.Unmarshal(body, &answer) != nil {
			continue
		}
		w.logf("call  GET of the queue at %s: %s; %d jobs were accepted over 5 s before and haven't begun", h.name, body, due)
		if answer.Pending*2 < due {
			w.mu.Lock()
			w.breakRule("MIXED: %s gives %d as pending; %d jobs were accepted over visible_ms + 2 s before and haven't begun", h.name, answer.Pending, due)
			w.mu.Unlock()
		}
	}
}

// caseQuota: an availability zone with the owner of a pool is cut off while a tenant
// uses its maximum there.
func caseQuota(w *world) {
	const service = "s1"
	w.configure([]string{service}, map[string]int{"t1": 16000})
	zones := []string{"z0", "z1", "z2"}
	for n := range 9 {
		w.addExecutor(service, fmt.Sprintf("m-%d", n), zones[n%3], fmt.Sprintf("r%d-1", n%3), 4000)
	}
	for n := range 3 {
		w.addHost(fmt.Sprintf("h%d", n), zones[n])
	}
	var cutMu sync.Mutex
	cutZone := ""
	zoneOf := map[string]string{"h0": "z0", "h1": "z1", "h2": "z2"}
	isCut := func() string { cutMu.Lock(); defer cutMu.Unlock(); return cutZone }
	w.cut = func(host string, x *executor) bool {
		z := isCut()
		return z != "" && (zoneOf[host] == z) != (x.zone == z)
	}
	w.store.silent = func(host string) bool { return isCut() != "" && zoneOf[host] == isCut() }
	for _, x := range w.executors {
		x.mute = func() bool { return isCut() == x.zone }
	}
	w.waitReady()
	time.Sleep(3 * time.Second)
	submit := func(hosts []*host) {
		w.submit(hosts, service, "t1", "ms=900", step{Count: 4, CPU: 1000, MemMB: 500, EstimateMs: 900})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			var hosts []*host
			for _, h := range w.hosts {
				if isCut() == "" || zoneOf[h.name] != isCut() {
					hosts = append(hosts, h)
				}
			}
			submit(hosts)
		}
	})
	time.Sleep(5 * time.Second)
	for cycle := range 3 {
		w.mu.Lock()
		owner := w.owners[service]
		w.mu.Unlock()
		if w.trouble {
			cutMu.Lock()
			cutZone = zoneOf[owner]
			cutMu.Unlock()
			w.logf("zone  %s is cut off with the pool's owner %s (cycle %d)", zoneOf[owner], owner, cycle)
		}
		time.Sleep(5500 * time.Millisecond)
		cutMu.Lock()
		cutZone = ""
		cutMu.Unlock()
		w.logf("zone  the cut ends")
		time.Sleep(12 * time.Second)
	}
	close(stop)
	wg.Wait()
}

// caseTwice: answers of the store are lost, and one of a host's pools gets another
// owner meanwhile. The queues are busy by turns.
func caseTwice(w *world) {
	services := []string{"s1", "s2", "s3", "s4"}
	w.configure(services, map[string]int{"t1": 0})
	for i, s := range services {
		for n := range 9 {
			w.addExecutor(s, fmt.Sprintf("m-%d-%d", i, n), fmt.Sprintf("z%d", n%3), fmt.Sprintf("r%d-1", n%3), 32000)
		}
	}
	for n := range 3 {
		w.addHost(fmt.Sprintf("h%d", n), fmt.Sprintf("z%d", n))
	}
	l := &lossy{w: w}
	w.store.judge = l.judge
	w.waitReady()
	time.Sleep(4 * time.Second)
	w.fill(services)
	for w.since() < 96 {
		for _, s := range services {
			w.submit(w.hosts, s, "t1", "last", step{Count: 5, CPU: 2000, MemMB: 2000, LongRunning: true, AntiAffinity: 1, MaxUnavailable: 1})
		}
		host, pool := w.ownerOfTwo(services)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for part := range 3 {
			wg.Go(func() {
				for n := part; ; n += 3 {
					select {
					case <-stop:
						return
					case <-time.After(60 * time.Millisecond):
					}
					w.submit(w.hosts, pool, "t1", fmt.Sprintf("ms=%d", 1000+n*137%5000), step{Count: 2, CPU: 700, MemMB: 800, EstimateMs: 1300})
				}
			})
		}
		time.Sleep(3 * time.Second)
		if w.trouble && w.isOwner(host, pool) {
			l.begin(host, pool)
		}
		time.Sleep(6 * time.Second)
		close(stop)
		wg.Wait()
		w.mu.Lock()
		broken := len(w.broken) > 0
		w.mu.Unlock()
		if broken {
			return
		}
	}
}

// fill has a host's pool carry out 45 small jobs a second for 18 s, as in a queue's turn.
func (w *world) fill(services []string) {
	_, pool := w.ownerOfTwo(services)
	stop := time.Now().Add(18 * time.Second)
	var wg sync.WaitGroup
	for range 9 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				w.submit(w.hosts, pool, "t1", "ms=300", step{Count: 1, CPU: 700, MemMB: 800, EstimateMs: 300})
				time.Sleep(185 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

func (w *world) isOwner(host, pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[pool] == host
}

// ownerOfTwo returns a host that owns two of the pools, and one of them.
func (w *world) ownerOfTwo(services []string) (host, pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, s := range services {
		count[w.owners[s]]++
	}
	for _, s := range services {
		if o := w.owners[s]; count[o] > 1 && (host == "" || count[o] > count[host]) {
			host, pool = o, s
		}
	}
	return host, pool
}

// lossy makes the store leave some writes of a window unanswered. It performs them
// one to six seconds later if their condition still holds then.
type lossy struct {
	w            *world
	mu           sync.Mutex
	host, pool   string
	until        time.Time
	loseSave     bool
	lost, writes int
	// claim is the first claim of the pool by another host that was not answered.
	claim     *txBody
	claimedBy string
	claimedAt time.Time
	// performed is set once it is decided when the claim is performed, taken once it was.
	performed, taken bool
}

const lossWindow = 4500 * time.Millisecond

func (l *lossy) begin(host, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.host, l.pool, l.loseSave, l.lost, l.writes = host, pool, false, 0, 0
	l.claim, l.performed, l.taken = nil, false, false
	l.until = time.Now().Add(lossWindow)
	l.w.logf("store answers are lost from now on: %s owns %s", host, pool)
}

func (l *lossy) performClaim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken = true
	_, version, ok := l.w.store.commit(l.claim)
	l.w.logf("store performs %s's claim of %s, sent %.2f s before: %v", l.claimedBy, l.pool, time.Since(l.claimedAt).Seconds(), ok)
	if ok {
		l.w.watchOwners(l.claimedBy, l.claim, version)
	}
}

func (l *lossy) judge(host string, t *txBody) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.host == "" {
		return vNormal
	}
	now := time.Now()
	if now.After(l.until) {
		l.w.logf("store answers arrive again; %d of %d writes were not answered", l.lost, l.writes)
		l.host = ""
		return vNormal
	}
	l.writes++
	r, ok := t.find("owners", "owner")
	ofPool := ok && r.Part == l.pool
	switch {
	case ofPool && host == l.host && !l.performed:
		l.lost++
		l.w.logf("store no answer to %s's renewal of %s", host, l.pool)
		if l.claim != nil && now.Sub(l.claimedAt) >= time.Second {
			l.performed = true
			time.AfterFunc(60*time.Millisecond, func() { l.mu.Lock(); l.loseSave = true; l.mu.Unlock() })
			time.AfterFunc(150*time.Millisecond, l.performClaim)
		}
		return vLate
	case ofPool && host != l.host && !l.taken:
		l.lost++
		if l.claim == nil {
			l.claim, l.claimedBy, l.claimedAt = t, host, now
		}
		l.w.logf("store no answer to %s's claim of %s", host, l.pool)
		return vHeld
	case host == l.host && l.loseSave && t.writesTable("progress") && t.Sets[0].Part == l.pool:
		l.lost++
		l.loseSave = false
		l.w.logf("store no answer to %s's save of the progress of %s", host, l.pool)
		return vLate
	}
	return vNormal
}
