package organisation

import (
	"math"
	"slices"
)

// Quota bounds the requests of an organisation that all nodes together pass on.
type Quota struct {
	// Rate is the number of requests per second, 0 for no bound.
	Rate float64
	// Burst is the number of requests allowed in addition at once.
	Burst float64
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Organisation is a group of callers with keys and limits of its own; it is immutable.
type Organisation struct {
	name        string
	keys        []string
	priority    int
	hasPriority bool
	quota       Quota
	regions     []string
}

// Option configures an Organisation.
type Option func(*Organisation)

// WithPriority sets the priority of all requests of the organisation, in place of that
// of their route; lower is more urgent.
func WithPriority(priority int) Option {
	return func(o *Organisation) { o.priority, o.hasPriority = priority, true }
}

// WithQuota sets the quota.
func WithQuota(quota Quota) Option { return func(o *Organisation) { o.quota = quota } }

// WithRegions sets the only regions that the organisation's requests may enter; without
// any, they may enter all.
func WithRegions(regions ...string) Option {
	return func(o *Organisation) { o.regions = regions }
}

// New returns an Organisation. It fails if the name or a key is empty, or the quota
// is negative or not a number.
func New(name string, keys []string, options ...Option) (*Organisation, error) {
	o := &Organisation{name: name, keys: slices.Clone(keys)}
	for _, option := range options {
		option(o)
	}
	switch {
	case name == "":
		return nil, newError("new", KindInvalid, "no name")
	case slices.Contains(keys, ""):
		return nil, newError("new", KindInvalid, "%q has an empty key", name)
	case !validBound(o.quota.Rate) || !validBound(o.quota.Burst):
		return nil, newError("new", KindInvalid, "%q: the quota is negative or not a number", name)
	}
	return o, nil
}

func validBound(value float64) bool { return value >= 0 && value <= math.MaxFloat32 }

// Name returns the name.
func (o *Organisation) Name() string { return o.name }

// Priority returns the priority, or that of the route if the organisation has none.
func (o *Organisation) Priority(route int) int {
	if o.hasPriority {
		return o.priority
	}
	return route
}

// Quota returns the quota.
func (o *Organisation) Quota() Quota { return o.quota }

// Regions returns the only regions that requests may enter, none for all; it must not be
// changed.
func (o *Organisation) Regions() []string { return o.regions }
