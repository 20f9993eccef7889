// Package arbiter decides once whether an answer goes on or is given up, where both may happen at the same moment.
package arbiter

import "sync/atomic"

// Arbiter counts the parts of an answer that have arrived, until it is given up. Its zero value is an answer that has not
// begun. It is safe for concurrent use.
type Arbiter struct {
	// parts is the number of parts; once the answer is given up, -1 less that number.
	parts atomic.Int64
}

// Hear records that a part of the answer has arrived. It returns false if the answer has been given up: the part must not
// be used.
func (a *Arbiter) Hear() bool {
	for {
		parts := a.parts.Load()
		if parts < 0 {
			return false
		}
		if a.parts.CompareAndSwap(parts, parts+1) {
			return true
		}
	}
}

// Drop takes back a part that was heard and cannot be used. Once the answer is given up it does nothing.
func (a *Arbiter) Drop() {
	for {
		parts := a.parts.Load()
		if parts <= 0 || a.parts.CompareAndSwap(parts, parts-1) {
			return
		}
	}
}

// Parts returns the number of parts that have arrived. It is what GiveUp takes after a check of the answer that lasts for
// a time.
func (a *Arbiter) Parts() int64 {
	parts := a.parts.Load()
	if parts < 0 {
		return -1 - parts
	}
	return parts
}

// HasBegun reports whether a part of the answer has arrived.
func (a *Arbiter) HasBegun() bool {
	return a.Parts() > 0
}

// GiveUp gives up the answer. It returns false if that has been done, or if the number of parts is not the given one any
// more: the answer goes on.
func (a *Arbiter) GiveUp(parts int64) bool {
	return a.parts.CompareAndSwap(parts, -1-parts)
}
