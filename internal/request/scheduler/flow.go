package scheduler

import (
	"math"
	"slices"
)

// flow is a node in the share tree, whose levels are member, client account and caller. Siblings
// are served by start-time fair queueing: the one with the smallest start tag goes first.
type flow struct {
	parent   *flow
	name     string
	weight   float64
	children map[string]*flow
	sorted   []*flow // children sorted by name, which makes tie-breaking deterministic
	items    []*Item // waiting items; only callers hold any
	queued   int     // waiting items in this subtree
	running  int     // running items of this subtree
	start    float64 // start tag: virtual time at which the next item is due
	virtual  float64 // virtual time among the children
}

func newFlow(parent *flow, name string, weight float64) *flow {
	return &flow{parent: parent, name: name, weight: weight, children: make(map[string]*flow)}
}

// child returns the named child with its weight updated, and creates it if it is missing.
func (f *flow) child(name string, weight float64) *flow {
	c, isKnown := f.children[name]
	if !isKnown {
		f.prune()
		c = newFlow(f, name, weight)
		f.children[name] = c
		i, _ := slices.BinarySearchFunc(f.sorted, name, func(c *flow, name string) int { return compare(c.name, name) })
		f.sorted = slices.Insert(f.sorted, i, c)
	}
	c.weight = weight
	return c
}

// prune removes idle children whose start tag is not ahead of the virtual time, so that the tree
// does not grow with every caller ever seen. A child that is ahead has had more than its share and
// stays, because it has to wait until its siblings have caught up.
func (f *flow) prune() {
	f.sorted = slices.DeleteFunc(f.sorted, func(c *flow) bool {
		isIdle := c.queued == 0 && c.running == 0 && c.start <= f.virtual
		if isIdle {
			delete(f.children, c.name)
		}
		return isIdle
	})
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// add counts a new item. A flow that was idle starts at its siblings' current virtual time, so it
// gains no credit for its idle time.
func (f *flow) add() {
	if f.queued == 0 && f.parent != nil {
		f.start = max(f.start, f.parent.virtual)
	}
	f.queued++
}

// serve charges the flow for an item that starts. Virtual time follows the smallest start tag
// among the siblings, which need not be that of the flow that is served: otherwise a flow that is
// served early for another reason would put flows that become active after it behind the backlog.
func (f *flow) serve(cost float64) {
	least := f.start
	for _, sibling := range f.parent.sorted {
		if sibling.queued > 0 {
			least = min(least, sibling.start)
		}
	}
	f.parent.virtual = max(f.parent.virtual, least)
	f.start += cost / f.weight
}

// adjust charges the difference between the actual and the estimated cost.
func (f *flow) adjust(difference float64) {
	f.start += difference / f.weight
}

// next returns the item that is due first in the subtree of f, or nil if none waits.
func (f *flow) next() *Item {
	if len(f.items) > 0 {
		return f.items[0]
	}
	var due *flow
	for _, c := range f.sorted {
		if c.queued > 0 && (due == nil || c.start < due.start) {
			due = c
		}
	}
	if due == nil {
		return nil
	}
	return due.next()
}

// nextSparse returns the item that is due first among those of sparse callers in the subtree of
// f, or nil. Children of f with a start tag above limit are skipped.
func (f *flow) nextSparse(limit float64) (item *Item) {
	if len(f.items) > 0 {
		if len(f.items)+f.running <= maxSparseRequests {
			return f.items[0]
		}
		return nil
	}
	bestStart := 0.0
	for _, c := range f.sorted {
		if c.queued == 0 || c.start > limit || (item != nil && c.start >= bestStart) {
			continue
		}
		if sparse := c.nextSparse(math.Inf(1)); sparse != nil {
			item, bestStart = sparse, c.start
		}
	}
	return item
}

// longest returns the caller in the subtree of f with the most waiting items for its weight,
// chosen level by level.
func (f *flow) longest() *flow {
	if len(f.items) > 0 {
		return f
	}
	var longest *flow
	for _, c := range f.sorted {
		if c.queued == 0 {
			continue
		}
		if longest == nil || float64(c.queued)/c.weight > float64(longest.queued)/longest.weight {
			longest = c
		}
	}
	if longest == nil {
		return f
	}
	return longest.longest()
}

func (f *flow) newest() *Item {
	return f.items[len(f.items)-1]
}

func (f *flow) contains(item *Item) bool {
	return slices.Contains(f.items, item)
}

func (f *flow) removeItem(item *Item) {
	f.items = slices.DeleteFunc(f.items, func(i *Item) bool { return i == item })
}

// each calls visit for all waiting items in the subtree of f.
func (f *flow) each(visit func(item *Item)) {
	for _, item := range f.items {
		visit(item)
	}
	for _, c := range f.sorted {
		c.each(visit)
	}
}

func (f *flow) activeChildren() (count int) {
	for _, c := range f.sorted {
		if c.queued > 0 {
			count++
		}
	}
	return count
}

func (f *flow) queuedBy(name string) int {
	if c, isKnown := f.children[name]; isKnown {
		return c.queued
	}
	return 0
}
