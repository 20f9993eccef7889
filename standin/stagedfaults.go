package standin

import "slices"

// CorruptChunk flips a bit of a staged chunk.
func (e *SlotEngine) CorruptChunk(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, isStaged := e.staged[number]; isStaged {
		corrupt := slices.Clone(data)
		corrupt[0] ^= 1
		e.staged[number] = corrupt
	}
}

// LengthenChunk makes a staged chunk longer, as one of other weights may be.
func (e *SlotEngine) LengthenChunk(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[number] = append(slices.Clone(e.staged[number]), 0)
}
