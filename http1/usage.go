package http1

import "sync/atomic"

// Usage counts the connections in use of the pools that share it; it is safe for concurrent
// use.
type Usage struct {
	inUse atomic.Int64
}

// InUse returns how many connections carry a request, or a response that has not been
// released.
func (u *Usage) InUse() int64 { return u.inUse.Load() }

// WithUsage makes a pool count its connections in use in u.
func WithUsage(u *Usage) PoolOption {
	return func(p *Pool) { p.usage = u }
}
