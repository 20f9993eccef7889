// Package deduplicator stores the idempotency keys of at-most-once calls at one agent
// incarnation: a key runs once, its repeats get the stored answer, and a key that may have been
// evicted is refused with unknown outcome. Memory is bounded by evicting whole generations of
// keys, oldest first. The package does no I/O and takes the time as an argument.
package deduplicator

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Config holds the settings of a Deduplicator.
type Config struct {
	Keys              int           // maximum number of stored keys
	KeysPerGeneration int           // number of keys after which a new generation begins
	GenerationTime    time.Duration // time after which a new generation begins
	MaxAnswerBytes    int           // maximum size in bytes of all stored answers together
}

// Answer is the stored answer of a call, which its repeats get.
type Answer struct {
	Status      int
	ContentType string
	Version     string
	Body        []byte
	// Refusal is set if the call was refused permanently and will never run here.
	Refusal *foxtailwharf.Refusal
}

// Verdict is the way in which a call has to be handled.
type Verdict int

// The verdicts that Begin returns.
const (
	Run    Verdict = iota // run the call, then call Finish, Refuse or MarkLost
	Wait                  // the call is running: wait on Entry.Done
	Replay                // reply with Entry.Answer
	Refuse                // reply with the refusal
)

// Entry is the record of one key.
type Entry struct {
	// Done is closed when the answer is set or lost.
	Done chan struct{}

	bodyDigest string
	generation uint64
	answer     *Answer
	isLost     bool
}

// Answer returns the stored answer, or nil if the outcome is unknown. It must only be called once
// Done is closed.
func (e *Entry) Answer() *Answer {
	return e.answer
}

// Deduplicator stores the keys of one agent incarnation. It is not safe for concurrent use.
type Deduplicator struct {
	config       Config
	generation   uint64
	floor        uint64 // keys claimed in this generation or before may have been evicted
	began        time.Time
	count        int // number of keys in the newest generation
	bytes        int
	entries      map[string]*Entry
	byGeneration map[uint64][]string
}

// New returns an empty store of keys in its first generation.
func New(config Config, now time.Time) *Deduplicator {
	return &Deduplicator{
		config:       config,
		generation:   1,
		began:        now,
		entries:      make(map[string]*Entry),
		byGeneration: make(map[uint64][]string),
	}
}

// Generation returns the number of the newest generation.
func (d *Deduplicator) Generation() uint64 {
	return d.generation
}

// Floor returns the number of the newest generation that was evicted, 0 if none was.
func (d *Deduplicator) Floor() uint64 {
	return d.floor
}

// Begin decides how to handle a call. claimed is the generation in the call's claim or ticket.
// The entry is nil for a refused key that is not stored, and the refusal is only set with the
// verdict Refuse.
func (d *Deduplicator) Begin(now time.Time, key, bodyDigest string, claimed uint64) (Verdict, *Entry, *foxtailwharf.Refusal) {
	d.rotate(now)
	if entry, isKnown := d.entries[key]; isKnown {
		return d.repeat(entry, bodyDigest)
	}
	if claimed <= d.floor || claimed > d.generation {
		return Refuse, nil, foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonKeyForgotten, "the key may have been evicted from memory")
	}
	if len(d.entries) >= d.config.Keys && !d.evict() {
		return Refuse, nil, foxtailwharf.NotRun(foxtailwharf.ReasonKeyMemoryFull, "the key memory is full of running calls")
	}
	// Eviction may have raised the floor past the generation of the claim.
	if claimed <= d.floor {
		return Refuse, nil, foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonKeyForgotten, "the key may have been evicted from memory")
	}
	entry := &Entry{Done: make(chan struct{}), bodyDigest: bodyDigest, generation: d.generation}
	d.entries[key] = entry
	d.byGeneration[d.generation] = append(d.byGeneration[d.generation], key)
	d.count++
	return Run, entry, nil
}

func (d *Deduplicator) repeat(entry *Entry, bodyDigest string) (Verdict, *Entry, *foxtailwharf.Refusal) {
	switch {
	case entry.bodyDigest != bodyDigest:
		return Refuse, entry, foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonKeyReused, "the key was used with another body")
	case entry.isLost:
		return Refuse, entry, foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, "the call may have run and its response was lost")
	case entry.answer == nil:
		return Wait, entry, nil
	case entry.answer.Refusal != nil:
		return Refuse, entry, entry.answer.Refusal
	default:
		return Replay, entry, nil
	}
}

// Finish stores the answer of a call that ran. If there is no room for it the answer is lost:
// repeats of the call are refused with unknown outcome.
func (d *Deduplicator) Finish(entry *Entry, answer Answer) {
	if entry.answer != nil || entry.isLost {
		return
	}
	for d.bytes+len(answer.Body) > d.config.MaxAnswerBytes {
		if !d.evict() {
			d.MarkLost(entry)
			return
		}
	}
	d.bytes += len(answer.Body)
	entry.answer = &answer
	close(entry.Done)
}

// Refuse marks a key that has not run as refused permanently at this incarnation. Otherwise a
// delayed request with the same key could run after the caller was told that it did not.
func (d *Deduplicator) Refuse(entry *Entry, refusal *foxtailwharf.Refusal) {
	if entry.answer != nil || entry.isLost {
		return
	}
	entry.answer = &Answer{Refusal: refusal}
	close(entry.Done)
}

// MarkLost marks a call that ran, or may have run, and whose answer is not available.
func (d *Deduplicator) MarkLost(entry *Entry) {
	if entry.answer != nil || entry.isLost {
		return
	}
	entry.isLost = true
	close(entry.Done)
}

// rotate begins a new generation if the newest is old or full.
func (d *Deduplicator) rotate(now time.Time) {
	if d.count < d.config.KeysPerGeneration && now.Sub(d.began) < d.config.GenerationTime {
		return
	}
	d.generation++
	d.began = now
	d.count = 0
}

// evict removes the oldest generation and raises the floor to it. The newest generation, and one
// with a running call, are not removed. It reports whether keys were removed.
func (d *Deduplicator) evict() bool {
	for oldest := d.floor + 1; oldest < d.generation; oldest++ {
		if d.isRunning(oldest) {
			return false
		}
		keys := d.byGeneration[oldest]
		for _, key := range keys {
			d.remove(key)
		}
		delete(d.byGeneration, oldest)
		d.floor = oldest
		if len(keys) > 0 {
			return true
		}
	}
	return false
}

func (d *Deduplicator) remove(key string) {
	if answer := d.entries[key].answer; answer != nil {
		d.bytes -= len(answer.Body)
	}
	delete(d.entries, key)
}

func (d *Deduplicator) isRunning(generation uint64) bool {
	for _, key := range d.byGeneration[generation] {
		entry := d.entries[key]
		if entry.answer == nil && !entry.isLost {
			return true
		}
	}
	return false
}
