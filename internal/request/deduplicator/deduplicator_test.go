package deduplicator_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// sender is an entry that holds a claim and may send the call at any later time.
type sender struct {
	key     string
	claimed uint64
}

// machine drives a deduplicator with random actions and compares it with a model.
type machine struct {
	d       *deduplicator.Deduplicator
	now     time.Time
	next    int
	senders []sender
	runs    map[string]int
	answers map[string]string
	refused map[string]bool
	running map[string]*deduplicator.Entry
	order   []string // running keys, in order of their start
}

// Claim adds a sender with a new key.
func (m *machine) Claim(*rapid.T) {
	m.next++
	m.senders = append(m.senders, sender{key: fmt.Sprint(m.next), claimed: m.d.Generation()})
}

// Send sends the call of any claim, new or old.
func (m *machine) Send(t *rapid.T) {
	if len(m.senders) == 0 {
		t.Skip("no claim yet")
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Second)
	s := rapid.SampledFrom(m.senders).Draw(t, "sender")
	verdict, entry, refusal := m.d.Begin(m.now, s.key, "body", s.claimed)
	switch verdict {
	case deduplicator.Run:
		m.runs[s.key]++
		if m.runs[s.key] > 1 || m.refused[s.key] {
			t.Fatalf("key %s runs for the second time, or after it was refused as not run", s.key)
		}
		m.running[s.key] = entry
		m.order = append(m.order, s.key)
	case deduplicator.Wait:
		if m.running[s.key] != entry {
			t.Fatalf("key %s waits on another call", s.key)
		}
	case deduplicator.Replay:
		if string(entry.Answer().Body) != m.answers[s.key] {
			t.Fatalf("key %s got another's answer", s.key)
		}
	case deduplicator.Refuse:
		if refusal.IsNotRun && m.runs[s.key] > 0 {
			t.Fatalf("key %s ran and was refused as not run", s.key)
		}
	}
}

// end removes a running key from the model and returns it.
func (m *machine) end(t *rapid.T) (string, *deduplicator.Entry) {
	if len(m.order) == 0 {
		t.Skip("nothing runs")
	}
	key := rapid.SampledFrom(m.order).Draw(t, "key")
	m.order = slices.DeleteFunc(m.order, func(k string) bool { return k == key })
	entry := m.running[key]
	delete(m.running, key)
	return key, entry
}

// Finish completes a running call with an answer.
func (m *machine) Finish(t *rapid.T) {
	key, entry := m.end(t)
	m.answers[key] = "answer " + key
	m.d.Finish(entry, deduplicator.Answer{Body: []byte(m.answers[key])})
}

// MarkLost completes a running call whose answer is lost.
func (m *machine) MarkLost(t *rapid.T) {
	_, entry := m.end(t)
	m.d.MarkLost(entry)
}

// Refuse refuses a call before it is sent to the upstream.
func (m *machine) Refuse(t *rapid.T) {
	key, entry := m.end(t)
	m.runs[key], m.refused[key] = 0, true
	m.d.Refuse(entry, foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, ""))
}

// Check is empty because the actions themselves check the results.
func (m *machine) Check(*rapid.T) {}

// TestRunsAtMostOnce sends claims in any order, any number of times and with any delay, while
// memory overflows and generations are evicted. No key may run twice.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now:     time.Unix(0, 0),
			runs:    make(map[string]int),
			answers: make(map[string]string),
			refused: make(map[string]bool),
			running: make(map[string]*deduplicator.Entry),
		}
		m.d = deduplicator.New(deduplicator.Config{
			Keys:              rapid.IntRange(1, 8).Draw(t, "keys"),
			KeysPerGeneration: rapid.IntRange(1, 4).Draw(t, "keys per generation"),
			GenerationTime:    time.Minute,
			MaxAnswerBytes:    rapid.IntRange(0, 40).Draw(t, "bytes"),
		}, m.now)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestBegin(t *testing.T) {
	now := time.Unix(0, 0)
	d := deduplicator.New(deduplicator.Config{Keys: 10, KeysPerGeneration: 10, GenerationTime: time.Hour, MaxAnswerBytes: 100}, now)
	if _, entry, _ := d.Begin(now, "known", "body", 1); entry != nil {
		d.Finish(entry, deduplicator.Answer{Status: 200})
	}
	tests := []struct {
		name    string
		key     string
		body    string
		claimed uint64
		want    deduplicator.Verdict
		refusal foxtailwharf.Reason
	}{
		{"a repeat", "known", "body", 1, deduplicator.Replay, ""},
		{"a repeat with an old claim", "known", "body", 0, deduplicator.Replay, ""},
		{"another body", "known", "other", 1, deduplicator.Refuse, foxtailwharf.ReasonKeyReused},
		{"a key at the floor", "old", "body", 0, deduplicator.Refuse, foxtailwharf.ReasonKeyForgotten},
		{"a future generation", "odd", "body", 2, deduplicator.Refuse, foxtailwharf.ReasonKeyForgotten},
		{"a new key", "new", "body", 1, deduplicator.Run, ""},
		{"while it runs", "new", "body", 1, deduplicator.Wait, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, refusal := d.Begin(now, tt.key, tt.body, tt.claimed)
			if got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
			if refusal != nil && (refusal.Reason != tt.refusal || refusal.IsNotRun) {
				t.Errorf("got refusal %v, want %s, outcome unknown", refusal, tt.refusal)
			}
		})
	}
}
