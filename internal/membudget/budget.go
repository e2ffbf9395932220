// Package membudget limits how many bytes a process buffers for one purpose, such
// as the bodies of all requests in flight.
package membudget

import "sync/atomic"

// Budget is a limit on buffered bytes. The zero value has no limit. It is safe for
// concurrent use.
type Budget struct {
	limit atomic.Int64 // bytes; 0: none
	used  atomic.Int64
	whole *Budget // of which this one is a part; nil: none
}

// New returns a budget of limit bytes; 0: no limit.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// Part returns a budget of limit bytes, 0 for no limit of its own, whose bytes count
// in b too.
func (b *Budget) Part(limit int64) *Budget {
	part := New(limit)
	part.whole = b
	return part
}

// SetLimit changes the limit in bytes. What was taken stays taken.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Fits reports whether n bytes can be taken at all.
func (b *Budget) Fits(n int64) bool {
	limit := b.limit.Load()
	return (limit <= 0 || n <= limit) && (b.whole == nil || b.whole.Fits(n))
}

// Take reserves n bytes. It reports false, and reserves nothing, if the limit
// would be exceeded.
func (b *Budget) Take(n int64) bool {
	limit := b.limit.Load()
	if used := b.used.Add(n); limit > 0 && used > limit {
		b.used.Add(-n)
		return false
	}
	if b.whole != nil && !b.whole.Take(n) {
		b.used.Add(-n)
		return false
	}
	return true
}

// Give returns n bytes that were taken.
func (b *Budget) Give(n int64) {
	if left := b.used.Add(-n); left < 0 {
		panic("membudget: more bytes were given back than taken")
	}
	if b.whole != nil {
		b.whole.Give(n)
	}
}

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the limit in bytes; 0: none.
func (b *Budget) Limit() int64 { return b.limit.Load() }
