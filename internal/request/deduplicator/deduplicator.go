// Package deduplicator remembers the keys of at-most-once calls at one agent
// incarnation: a key runs once, its repeats get the stored answer, and a key that
// may have been forgotten is refused as of unknown outcome. Memory is bounded by
// forgetting whole generations, oldest first. It does no I/O.
package deduplicator

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Config holds the settings of a Deduplicator.
type Config struct {
	Keys           int           // keys remembered at the most
	KeysPerRound   int           // keys after which a new generation begins
	RoundTime      time.Duration // time after which a new generation begins
	MaxAnswerBytes int           // bytes of all stored answers together
}

// Answer is a finished answer as the repeat of a call gets it.
type Answer struct {
	Status      int
	ContentType string
	Version     string
	Body        []byte
	// Refusal is set where the call was refused for good and will never run here.
	Refusal *foxtailwharf.Refusal
}

// Verdict says what to do with a call.
type Verdict int

// The verdicts.
const (
	Run    Verdict = iota // run it and report with Finish, Refuse or Lose
	Wait                  // it runs now: wait on Entry.Done
	Replay                // answer with Entry.Answer
	Refuse                // answer with the refusal
)

// Entry is the memory of one key.
type Entry struct {
	// Done is closed when Answer is set or the outcome is lost.
	Done chan struct{}

	bodyDigest string
	generation uint64
	answer     *Answer
	isLost     bool
}

// Answer returns the finished answer, and nil where the outcome is unknown. It
// may be read once Done is closed.
func (e *Entry) Answer() *Answer {
	return e.answer
}

// Deduplicator is the key memory of one agent incarnation.
type Deduplicator struct {
	c          Config
	generation uint64
	floor      uint64 // keys named in this generation or before may be forgotten
	began      time.Time
	count      int // keys in the newest generation
	bytes      int
	entries    map[string]*Entry
	byRound    map[uint64][]string
}

// New returns an empty memory in its first generation.
func New(c Config, now time.Time) *Deduplicator {
	return &Deduplicator{
		c:          c,
		generation: 1,
		began:      now,
		entries:    make(map[string]*Entry),
		byRound:    make(map[uint64][]string),
	}
}

// Generation returns the newest generation.
func (d *Deduplicator) Generation() uint64 {
	return d.generation
}

// Floor returns the highest generation that has been forgotten.
func (d *Deduplicator) Floor() uint64 {
	return d.floor
}

// Begin decides what to do with a call. named is the generation that the call's
// claim or ticket names.
func (d *Deduplicator) Begin(now time.Time, key, bodyDigest string, named uint64) (Verdict, *Entry, *foxtailwharf.Refusal) {
	d.advance(now)
	if entry, isKnown := d.entries[key]; isKnown {
		return d.repeat(entry, bodyDigest)
	}
	if named <= d.floor || named > d.generation {
		return Refuse, nil, foxtailwharf.Unknown(foxtailwharf.ReasonKeyForgotten, "the key may have been forgotten")
	}
	if len(d.entries) >= d.c.Keys && !d.forget() {
		return Refuse, nil, foxtailwharf.NotRun(foxtailwharf.ReasonKeyMemoryFull, "the memory of keys is full of running calls")
	}
	// Forgetting may have raised the floor past the generation that the call names.
	if named <= d.floor {
		return Refuse, nil, foxtailwharf.Unknown(foxtailwharf.ReasonKeyForgotten, "the key may have been forgotten")
	}
	entry := &Entry{Done: make(chan struct{}), bodyDigest: bodyDigest, generation: d.generation}
	d.entries[key] = entry
	d.byRound[d.generation] = append(d.byRound[d.generation], key)
	d.count++
	return Run, entry, nil
}

func (d *Deduplicator) repeat(entry *Entry, bodyDigest string) (Verdict, *Entry, *foxtailwharf.Refusal) {
	switch {
	case entry.bodyDigest != bodyDigest:
		return Refuse, entry, foxtailwharf.Unknown(foxtailwharf.ReasonKeyReused, "the key was used with another body")
	case entry.isLost:
		return Refuse, entry, foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, "the call ran and its answer was lost")
	case entry.answer == nil:
		return Wait, entry, nil
	case entry.answer.Refusal != nil:
		return Refuse, entry, entry.answer.Refusal
	default:
		return Replay, entry, nil
	}
}

// Finish stores the answer of a call that ran. An answer for which there is no
// room is lost: its repeats are of unknown outcome.
func (d *Deduplicator) Finish(entry *Entry, answer Answer) {
	if entry.answer != nil || entry.isLost {
		return
	}
	for d.bytes+len(answer.Body) > d.c.MaxAnswerBytes {
		if !d.forget() {
			d.Lose(entry)
			return
		}
	}
	d.bytes += len(answer.Body)
	entry.answer = &answer
	close(entry.Done)
}

// Refuse marks a key that has not run as refused for good at this incarnation,
// so that a late sender of the same key cannot run it after its caller was told
// that it did not.
func (d *Deduplicator) Refuse(entry *Entry, refusal *foxtailwharf.Refusal) {
	if entry.answer != nil || entry.isLost {
		return
	}
	entry.answer = &Answer{Refusal: refusal}
	close(entry.Done)
}

// Lose marks a call that ran, or may have, and whose answer is not to be had.
func (d *Deduplicator) Lose(entry *Entry) {
	if entry.answer != nil || entry.isLost {
		return
	}
	entry.isLost = true
	close(entry.Done)
}

// advance begins a new generation when the newest is old or large.
func (d *Deduplicator) advance(now time.Time) {
	if d.count < d.c.KeysPerRound && now.Sub(d.began) < d.c.RoundTime {
		return
	}
	d.generation++
	d.began = now
	d.count = 0
}

// forget drops the oldest generation and raises the floor to it. Generations
// with a running call, and the newest, stay; it reports whether one was dropped.
func (d *Deduplicator) forget() bool {
	for oldest := d.floor + 1; oldest < d.generation; oldest++ {
		if d.isRunning(oldest) {
			return false
		}
		keys := d.byRound[oldest]
		for _, key := range keys {
			d.drop(key)
		}
		delete(d.byRound, oldest)
		d.floor = oldest
		if len(keys) > 0 {
			return true
		}
	}
	return false
}

func (d *Deduplicator) drop(key string) {
	if answer := d.entries[key].answer; answer != nil {
		d.bytes -= len(answer.Body)
	}
	delete(d.entries, key)
}

func (d *Deduplicator) isRunning(generation uint64) bool {
	for _, key := range d.byRound[generation] {
		entry := d.entries[key]
		if entry.answer == nil && !entry.isLost {
			return true
		}
	}
	return false
}
