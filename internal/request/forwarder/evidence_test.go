package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestSuspensionEndsBans guards against bans and crashes that do not grow older while a machine is suspended,
// so that the machine tells them to the others as new.
func TestSuspensionEndsBans(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, text(http.StatusOK, "ok"))
		b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{"bad"}, Remaining: 5 * time.Minute}}})
		b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{isolator.Request("request")}, Remaining: 5 * time.Minute}}})
		time.Sleep(time.Second)
		b.clock += 2 * time.Minute
		bans := b.forwarder.Bans()
		if len(bans) != 2 {
			t.Errorf("have bans %v, want those of the part and of the request", bans)
		}
		for _, ban := range bans {
			if ban.Remaining > 3*time.Minute || ban.Age < 2*time.Minute {
				t.Errorf("after two minutes of suspension the ban of %v remains for %s, its newest crash was %s ago", ban.Parts, ban.Remaining, ban.Age)
			}
		}
		b.clock += 4 * time.Minute
		if a := b.call("/look/1", func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,bad,last") }); a.status != http.StatusOK {
			t.Errorf("status %d after the end of the ban, want 200", a.status)
		}
	})
}

// weigh lets an entry weigh its evidence for some time, as it does several times a second, and returns the
// bans that it tells the others.
func (b *bench) weigh(role isolator.Role, length time.Duration) (told isolator.Evidence) {
	for range length / (100 * time.Millisecond) {
		told.Bans = append(told.Bans, b.forwarder.Isolate(role).Bans...)
		time.Sleep(100 * time.Millisecond)
	}
	return told
}

// TestBacklogIsNotNew guards against evidence that waited while a process stood still and counts as new when it
// goes on: the part under which engines crashed may have begun to be answered elsewhere since.
func TestBacklogIsNotNew(t *testing.T) {
	const sinceProof = 5 * time.Second
	tests := []struct {
		name  string
		stood time.Duration
		want  int // bans at the entry that has the proof
	}{
		{"stood still", 20 * time.Second, 0},
		{"stood still for less than since the proof", 4 * time.Second, 1},
		{"did not stand still", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				other := newBench(b.t, newMemoryNetwork())
				defer other.close()
				other.upstream(2, text(http.StatusOK, "ok"))
				b.weigh(isolator.RoleDecides, max(sinceProof-tt.stood, time.Second))
				time.Sleep(max(tt.stood-sinceProof, 0))
				other.call("/look/1", func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,last") })
				time.Sleep(min(sinceProof, tt.stood))
				b.weigh(isolator.RoleDecides, sinceProof-min(sinceProof, tt.stood))
				for _, engine := range []string{"a", "b", "c", "d", "e"} {
					b.forwarder.MergeEvidence(isolator.Evidence{Crashes: []isolator.Crash{{Upstream: engine, Parts: []string{"first"}}}})
				}
				told := b.weigh(isolator.RoleDecides, time.Second)
				if len(told.Bans) != 1 {
					t.Errorf("the entry that decides tells %v, want one ban", told.Bans)
				}
				other.forwarder.MergeEvidence(told)
				if have := len(other.forwarder.Bans()); have != tt.want {
					t.Errorf("%d bans at the entry that has answered a call with the part, want %d", have, tt.want)
				}
			})
		})
	}
}

// TestSeenAfterStandstillIsOld has an answer begin and a connection break while the process stands still, which
// it sees when it goes on.
func TestSeenAfterStandstillIsOld(t *testing.T) {
	const stood = 1500 * time.Millisecond
	run(t, func(b *bench) {
		b.view.Configuration.Services["s"] = foxtailwharf.CallService{Name: "s", Engine: &foxtailwharf.EngineModel{Model: "m", Slots: 4}}
		b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(stood)
			if r.URL.Path == "/book/crash" {
				breakOff(w, r)
			}
			text(http.StatusOK, "ok")(w, r)
		})
		b.view.Upstreams[0].Weights = 1
		b.update()
		// The entry has heard of a crash under a part that now begins to be answered.
		b.forwarder.MergeEvidence(isolator.Evidence{Crashes: []isolator.Crash{{Upstream: "x", Age: time.Minute, Parts: []string{"sound"}}}})
		b.weigh(isolator.RoleNone, time.Second)
		ended := make(chan answer, 2)
		for path, part := range map[string]string{"/look/1": "sound,last", "/book/crash": "bad,last"} {
			go func() {
				ended <- b.call(path, func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, part) })
			}()
		}
		<-ended
		<-ended
		b.view.Upstreams[0].Born = time.Now()
		b.update()
		e := b.forwarder.Isolate(isolator.RoleNone)
		if len(e.Crashes) != 1 || e.Crashes[0].Age < stood {
			t.Errorf("have crashes %+v, want one at least %s old", e.Crashes, stood)
		}
		if len(e.Proofs) != 1 || e.Proofs[0].Age < stood {
			t.Errorf("have proofs %+v, want one at least %s old", e.Proofs, stood)
		}
	})
}
