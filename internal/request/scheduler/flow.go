package scheduler

import (
	"math"
	"slices"
)

// flow is a node in the tree of shares: a member, a client account or a caller.
// Among siblings the one with the smallest start tag is served next (start-time
// fair queueing).
type flow struct {
	parent   *flow
	name     string
	weight   float64
	children map[string]*flow
	order    []*flow // children by name, so that ties fall the same way everywhere
	items    []*Item // callers only
	queued   int     // items in this node and below
	running  int     // items started from this node and below
	start    float64 // virtual time at which the next item is due
	virtual  float64 // virtual time of the children's competition
}

func newFlow(parent *flow, name string, weight float64) *flow {
	return &flow{parent: parent, name: name, weight: weight, children: make(map[string]*flow)}
}

// child returns the child of a name, made where it is missing.
func (f *flow) child(name string, weight float64) *flow {
	c, isKnown := f.children[name]
	if !isKnown {
		f.prune()
		c = newFlow(f, name, weight)
		f.children[name] = c
		i, _ := slices.BinarySearchFunc(f.order, name, func(c *flow, name string) int { return compare(c.name, name) })
		f.order = slices.Insert(f.order, i, c)
	}
	c.weight = weight
	return c
}

// prune forgets idle children whose debt is paid, so that the tree does not grow
// with every caller ever seen.
func (f *flow) prune() {
	f.order = slices.DeleteFunc(f.order, func(c *flow) bool {
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

// add counts a new item; a flow that was idle starts at its siblings' present
// and earns nothing for the time it asked for nothing.
func (f *flow) add() {
	if f.queued == 0 && f.parent != nil {
		f.start = max(f.start, f.parent.virtual)
	}
	f.queued++
}

// serve charges the flow for an item that starts. Virtual time follows the sibling
// that is due first, which need not be the one that is served: a flow that goes first
// for another reason must not put flows that wake after it behind the backlog.
func (f *flow) serve(cost float64) {
	least := f.start
	for _, sibling := range f.parent.order {
		if sibling.queued > 0 {
			least = min(least, sibling.start)
		}
	}
	f.parent.virtual = max(f.parent.virtual, least)
	f.start += cost / f.weight
}

// correct charges the difference between the real and the estimated cost.
func (f *flow) correct(difference float64) {
	f.start += difference / f.weight
}

// next returns the item that is due first below f.
func (f *flow) next() *Item {
	if len(f.items) > 0 {
		return f.items[0]
	}
	var due *flow
	for _, c := range f.order {
		if c.queued > 0 && (due == nil || c.start < due.start) {
			due = c
		}
	}
	if due == nil {
		return nil
	}
	return due.next()
}

// nextLight returns the item that is due first of the callers below f that have few
// requests here, waiting and running. Children that are due after a limit are
// passed over.
func (f *flow) nextLight(limit float64) (item *Item) {
	if len(f.items) > 0 {
		if len(f.items)+f.running <= fewRequests {
			return f.items[0]
		}
		return nil
	}
	bestStart := 0.0
	for _, c := range f.order {
		if c.queued == 0 || c.start > limit || (item != nil && c.start >= bestStart) {
			continue
		}
		if light := c.nextLight(math.Inf(1)); light != nil {
			item, bestStart = light, c.start
		}
	}
	return item
}

// longest returns the caller below f with the most waiting items for its weight,
// chosen level by level.
func (f *flow) longest() *flow {
	if len(f.items) > 0 {
		return f
	}
	var longest *flow
	for _, c := range f.order {
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

func (f *flow) drop(item *Item) {
	f.items = slices.DeleteFunc(f.items, func(i *Item) bool { return i == item })
}

// each calls visit for all items below f.
func (f *flow) each(visit func(item *Item)) {
	for _, item := range f.items {
		visit(item)
	}
	for _, c := range f.order {
		c.each(visit)
	}
}

func (f *flow) activeChildren() (count int) {
	for _, c := range f.order {
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
