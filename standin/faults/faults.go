// Package faults injects failures into the HTTP servers of the stand-in.
package faults

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// Set is the faults of one target. The zero value is none.
type Set struct {
	Down             bool
	Delay            time.Duration
	LoseReply        bool
	SilenceOpenConns bool
	FailAll          bool
	CrossReplies     bool
	Truncate         bool
	Leaving          bool
	CutZones         []string
	silencedBefore   time.Time
	cutPrefixes      []netip.Prefix
}

// Injector holds the faults of one target. Its methods may be used
// concurrently.
type Injector struct {
	zones map[string]netip.Prefix

	mu  sync.Mutex
	set Set
}

// New returns an injector that knows which addresses belong to which zone.
func New(zones map[string]netip.Prefix) *Injector { return &Injector{zones: zones} }

// Apply replaces the faults. Silence concerns the connections that are open
// now.
func (i *Injector) Apply(s Set) {
	if s.SilenceOpenConns {
		s.silencedBefore = time.Now()
	}
	for _, zone := range s.CutZones {
		if prefix, ok := i.zones[zone]; ok {
			s.cutPrefixes = append(s.cutPrefixes, prefix)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.set = s
}

// Current returns the faults in force.
func (i *Injector) Current() Set {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.set
}

type openedKey struct{}

// ConnContext records when a connection was opened; it is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// Wrap applies the faults around next. A lost reply lets next take effect and
// then closes the connection without an answer.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		set := i.Current()
		if set.Down || set.isCut(r.RemoteAddr) {
			panic(http.ErrAbortHandler)
		}
		if set.isSilenced(r.Context()) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if !wait(r.Context(), set.Delay) {
			panic(http.ErrAbortHandler)
		}
		if set.LoseReply {
			next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s Set) isCut(remote string) bool {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, prefix := range s.cutPrefixes {
		if prefix.Contains(addr.Addr()) {
			return true
		}
	}
	return false
}

func (s Set) isSilenced(ctx context.Context) bool {
	opened, ok := ctx.Value(openedKey{}).(time.Time)
	return ok && s.SilenceOpenConns && opened.Before(s.silencedBefore)
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// discard is a ResponseWriter whose answer nobody receives.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// FromWire converts the control message.
func FromWire(f *wirev1.Faults) Set {
	return Set{
		Down:             f.GetDown(),
		Delay:            time.Duration(f.GetDelayMs()) * time.Millisecond,
		LoseReply:        f.GetLoseReply(),
		SilenceOpenConns: f.GetSilenceOpenConnections(),
		FailAll:          f.GetFailAll(),
		CrossReplies:     f.GetCrossReplies(),
		Truncate:         f.GetTruncate(),
		Leaving:          f.GetLeaving(),
		CutZones:         f.GetCutZones(),
	}
}
