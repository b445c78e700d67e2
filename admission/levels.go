package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

// The decisions in this file answer a service at the bottom of a chain that is full: what
// it rejects has already cost the runs of its callers. The entry node rejects at once the
// least urgent requests whose runs call a service without room for that.

const (
	// reportLifetime is how long the report of an upstream is valid: more than two
	// intervals of the beacons that carry it.
	reportLifetime = 600 * time.Millisecond
	// freeLifetime is how long a report of free slots is valid: one such interval.
	freeLifetime = 250 * time.Millisecond
	// freeShare is the share of free slots from which there is no level; the level
	// decreases towards it.
	freeShare = 0.1
	// minReports and minReportShare are the least number of upstreams with valid reports,
	// and their least share of those that serve, from which there is a level.
	minReports     = 3
	minReportShare = 0.25
	// levelLifetime is how long a merged level is used.
	levelLifetime = 20 * time.Millisecond
	// maxSlowdown is the slowdown from which free slots do not count, because a run
	// would be late there.
	maxSlowdown = 2
	// minNestedCalls is the mean number of calls to a service per run from which its
	// level counts for the request.
	minNestedCalls = 0.1
	// loggedChange is the change of a level from which it is reported again.
	loggedChange = 0.1
)

// Demand describes a request that is new to an entry node.
type Demand struct {
	// Nested is the mean number of calls that the run makes to other services, nil if that
	// is unknown.
	Nested map[string]float64
	// Priority is lower for more urgent requests.
	Priority int
	// Organisation is the organisation of the caller, "" for none.
	Organisation string
	// Late means that the request cannot be in time, or came back earlier than told, so
	// that it goes after others of its priority.
	Late bool
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Level is what nested calls a service has no room for, as an entry node sees it.
type Level struct {
	Service string
	// Excess is the share of the calls without room, 0 without overload.
	Excess float64
	// Reports is the number of upstreams behind it, or if Relayed is set, of nodes that
	// told their level with answers, and Age the age of the oldest report.
	Reports int
	Age     time.Duration
	Relayed bool
}

// Levels merges the load reports of upstreams into the levels of their services; it is
// safe for concurrent use.
type Levels struct {
	upstreams func(service string) int

	mu      sync.Mutex
	reports map[string]map[string]loadReport
	// relays holds the levels for nested calls that the nodes of upstreams see, by service
	// and upstream.
	relays  map[string]map[string]relay
	demands map[string]*demand
	levels  map[string]*levelState
}

type loadReport struct {
	load call.Load
	at   time.Time
}

type relay struct {
	excess float64
	at     time.Time
}

// levelState is a merged level and what was reported of it.
type levelState struct {
	Level
	mergedAt time.Time
	logged   float64
}

// NewLevels returns Levels; upstreams returns the number of upstreams that serve a
// service.
func NewLevels(upstreams func(service string) int) *Levels {
	return &Levels{
		upstreams: upstreams, reports: map[string]map[string]loadReport{}, relays: map[string]map[string]relay{}, demands: map[string]*demand{},
		levels: map[string]*levelState{},
	}
}

// Report records a load report of an upstream.
func (l *Levels) Report(now time.Time, service, upstream string, load call.Load) {
	if load.Limit == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := l.reports[service]
	if reports == nil {
		reports = map[string]loadReport{}
		l.reports[service] = reports
	}
	if previous, ok := reports[upstream]; ok && load.ServiceTime == 0 {
		// A notice carries the running calls and the slowdown only.
		load.ServiceTime, load.NestedExcess = previous.load.ServiceTime, previous.load.NestedExcess
	}
	reports[upstream] = loadReport{load: load, at: now}
}

// Relay records the levels for nested calls that the node of an upstream told with an
// answer, for entry nodes that do not call these services themselves.
func (l *Levels) Relay(now time.Time, upstream string, excess map[string]float32) {
	if len(excess) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, value := range excess {
		relays := l.relays[service]
		if relays == nil {
			relays = map[string]relay{}
			l.relays[service] = relays
		}
		relays[upstream] = relay{excess: boundedExcess(value), at: now}
	}
}

// NestedExcess returns the levels for nested calls by the reports of upstreams, without
// those that were relayed, by service, nil if there are none.
func (l *Levels) NestedExcess(now time.Time) map[string]float32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var excess map[string]float32
	for service := range l.reports {
		level := l.level(now, service)
		if level.Excess == 0 || level.Relayed {
			continue
		}
		if excess == nil {
			excess = map[string]float32{}
		}
		excess[service] = float32(level.Excess)
	}
	return excess
}

// Admit records a request that is not nested. It reports whether there is room for it,
// and the level of the service without room if there is none.
func (l *Levels) Admit(now time.Time, d Demand) (Level, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := 2 * d.Priority
	if d.Late {
		rank++
	}
	var level Level
	admitted := true
	for service, calls := range d.Nested {
		if calls < minNestedCalls {
			continue
		}
		if full, ok := l.admit(now, service, rank, d.Organisation, calls, d.Draw); !ok {
			level, admitted = full, false
		}
	}
	return level, admitted
}

// admit records the calls of a request and reports whether they are within the level.
func (l *Levels) admit(now time.Time, service string, rank int, organisation string, calls, draw float64) (Level, bool) {
	wanted := l.demands[service]
	if wanted == nil {
		wanted = newDemand(now)
		l.demands[service] = wanted
	}
	own := wanted.add(now, rank, organisation, calls)
	level := l.level(now, service)
	if level.Excess == 0 {
		return level, true
	}
	return level, wanted.within(now, own, organisation, 1-level.Excess, draw)
}

// Level returns the level of a service.
func (l *Levels) Level(now time.Time, service string) Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.level(now, service)
}

// TakeChanges returns the levels that began, changed much or ended since the latest call,
// and drops what no report is left of.
func (l *Levels) TakeChanges(now time.Time) []Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Level
	for service, state := range l.levels {
		level := l.level(now, service)
		if (state.logged == 0) != (level.Excess == 0) || math.Abs(state.logged-level.Excess) >= loggedChange {
			state.logged = level.Excess
			changed = append(changed, level)
		}
		if level.Reports == 0 && state.logged == 0 {
			delete(l.levels, service)
			delete(l.demands, service)
			if len(l.reports[service]) == 0 {
				delete(l.reports, service)
			}
			if len(l.relays[service]) == 0 {
				delete(l.relays, service)
			}
		}
	}
	slices.SortFunc(changed, func(a, b Level) int { return cmp.Compare(a.Service, b.Service) })
	return changed
}

// level returns the merged level of a service; l.mu is held.
func (l *Levels) level(now time.Time, service string) Level {
	state := l.levels[service]
	if state == nil {
		state = &levelState{}
		l.levels[service] = state
	}
	if state.mergedAt.IsZero() || now.Sub(state.mergedAt) >= levelLifetime {
		state.Level, state.mergedAt = l.merge(now, service), now
	}
	return state.Level
}

// merge returns the mean of the reports, less by what is free. If too few upstreams have
// reported lately, there is only what other nodes relayed.
func (l *Levels) merge(now time.Time, service string) Level {
	level := Level{Service: service}
	excess, free, slots := 0.0, 0.0, 0.0
	for upstream, report := range l.reports[service] {
		age := now.Sub(report.at)
		if age > reportLifetime {
			delete(l.reports[service], upstream)
			continue
		}
		load := report.load
		level.Reports++
		level.Age = max(level.Age, age)
		slots += float64(load.Limit)
		excess += boundedExcess(load.NestedExcess)
		if age <= freeLifetime && load.Waiting == 0 && !load.Failing && load.Slowdown < maxSlowdown {
			free += max(0, float64(load.Limit)-float64(load.Running))
		}
	}
	serving := l.upstreams(service)
	if level.Reports == 0 || level.Reports < min(serving, max(minReports, int(math.Ceil(minReportShare*float64(serving))))) {
		return l.relayed(now, service)
	}
	if excess == 0 {
		return level
	}
	level.Excess = excess / float64(level.Reports) * max(0, 1-free/(freeShare*slots))
	return level
}

// relayed returns the mean of what nodes told with answers.
func (l *Levels) relayed(now time.Time, service string) Level {
	level := Level{Service: service, Relayed: true}
	sum := 0.0
	for upstream, r := range l.relays[service] {
		if now.Sub(r.at) > reportLifetime {
			delete(l.relays[service], upstream)
			continue
		}
		level.Reports++
		level.Age = max(level.Age, now.Sub(r.at))
		sum += r.excess
	}
	if level.Reports > 0 {
		level.Excess = sum / float64(level.Reports)
	}
	return level
}

// boundedExcess returns a told excess within its bounds, 0 for NaN.
func boundedExcess(value float32) float64 {
	if !(value > 0) {
		return 0
	}
	return min(float64(value), 1-minAdmittedShare)
}
