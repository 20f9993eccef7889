package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/claimer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// reservationRuns returns how often a body ran at any reservation service.
func (b *bench) reservationRuns(body string) (count int) {
	for _, a := range b.f.AgentsOf("reservations") {
		if s, isService := a.Upstream.(*standin.Service); isService {
			count += s.Runs(body)
		}
	}
	return count
}

// want checks status, reason, truth of "not run" and runs of a body.
func (b *bench) want(what string, a answer, status int, reason foxtailwharf.Reason, isNotRun bool, body string, runs int) {
	b.t.Helper()
	gotReason, gotNotRun := problemOf(a)
	if a.err != nil || a.status != status || (status != http.StatusOK && (gotReason != string(reason) || gotNotRun != isNotRun)) {
		b.t.Errorf("%s: got status %d, %s, not run %t, error %v; want status %d, %s, not run %t", what, a.status, gotReason, gotNotRun, a.err, status, reason, isNotRun)
	}
	if got := b.reservationRuns(body); got != runs {
		b.t.Errorf("%s: it ran %d times, want %d", what, got, runs)
	}
}

// claimOf claims a key for an agent as an entry does that then dies.
func (b *bench) claimOf(a *fleet.Agent, key, body string) wire.Attempt {
	b.t.Helper()
	self := a.Status().Self
	digest := foxtailwharf.Digest([]byte("POST\n/dates\n" + body))
	name := claimer.Name("fiesta-organisers", "reservations", key)
	store := b.f.Store()
	defer store.Close()
	_, err := claimer.New(claimer.Config{Store: store}).Claim(b.t.Context(), name, wire.Claim{
		Instance: self.Name, Address: self.Address.String(), Incarnation: self.Incarnation,
		Generation: self.Generation, AttemptID: "dead entry", BodyDigest: digest,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	return wire.Attempt{
		AttemptID: "dead entry", Incarnation: self.Incarnation, Service: "reservations", Member: "sayaw-tayo",
		Account: "fiesta-organisers", Caller: "organiser", Rank: "Urgent", Method: http.MethodPost, Path: "/dates",
		Key: name, Generation: self.Generation, BodyDigest: digest, TimeoutMillis: 5000,
	}
}

// send sends an attempt to an agent as a thawed entry does, and returns the answer.
func (b *bench) send(a *fleet.Agent, attempt wire.Attempt, body string) (answer wire.Answer) {
	b.t.Helper()
	record, _ := json.Marshal(attempt)
	client := &http.Client{Transport: &http.Transport{DialContext: dialFrom(b.caller), DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://"+a.Status().Self.Address.String()+runner.Path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set(runner.HeaderAttempt, string(record))
	response, err := client.Do(request)
	if err != nil {
		b.t.Fatal(err)
	}
	_ = response.Body.Close()
	if err := json.Unmarshal([]byte(response.Header.Get(runner.HeaderAnswer)), &answer); err != nil {
		b.t.Fatal(err)
	}
	return answer
}

func (b *bench) ticket() string {
	b.t.Helper()
	a := b.do(b.t.Context(), http.MethodPost, "/v1/operations", `{"Service":"reservations"}`, nil)
	var reply struct{ Ticket string }
	if err := json.Unmarshal([]byte(a.body), &reply); err != nil || a.status != http.StatusCreated {
		b.t.Fatalf("no ticket: status %d, %s", a.status, a.body)
	}
	return reply.Ticket
}

func (b *bench) reserveByTicket(ticket, body string) answer {
	return b.do(b.t.Context(), http.MethodPost, "/reservations/dates", body, http.Header{"Foxtailwharf-Ticket": {ticket}})
}

// TestAtMostOnce goes through the ways in which a call can be sent twice.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	slow := standin.ServiceFaults{Latency: 300 * time.Millisecond}
	tests := map[string]func(b *bench){
		"the same key at once through all entries": func(b *bench) {
			var callers sync.WaitGroup
			for n := range 6 {
				callers.Go(func() { b.want("sender", b.via(n).reserve("k", "body"), 200, "", false, "body", 1) })
			}
			callers.Wait()
		},
		"the service breaks the answer off": func(b *bench) {
			b.services(standin.ServiceFaults{BreakAnswers: 100})
			b.want("first", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
			b.services(standin.ServiceFaults{})
			b.want("repeat", b.via(4).reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
		},
		"the caller goes away while it runs": func(b *bench) {
			b.services(slow)
			ctx, cancel := context.WithTimeout(b.t.Context(), 100*time.Millisecond)
			defer cancel()
			b.do(ctx, http.MethodPost, "/reservations/dates", "body", http.Header{"Idempotency-Key": {"k"}})
			b.want("repeat", b.via(2).reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the entry dies after it sent": func(b *bench) {
			b.services(slow)
			var callers sync.WaitGroup
			callers.Go(func() { b.reserve("k", "body") })
			b.await("it runs", func() bool { return b.reservationRuns("body") == 1 })
			b.hosts["entry-0"].Kill()
			callers.Wait()
			b.want("repeat", b.via(3).reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the entry dies after the claim, before it sent, and thaws": func(b *bench) {
			a := b.f.AgentsOf("reservations")[1]
			attempt := b.claimOf(a, "k", "body")
			b.want("repeat", b.via(3).reserve("k", "body"), 200, "", false, "body", 1)
			if late := b.send(a, attempt, "body"); late.Refusal != nil || !late.IsReplayed {
				b.t.Errorf("the thawed sender got %+v, want the stored answer", late)
			}
			b.want("another repeat", b.reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the claimed agent was replaced": func(b *bench) {
			a := b.f.AgentsOf("reservations")[1]
			attempt := b.claimOf(a, "k", "body")
			if err := b.f.Replace(b.t.Context(), a); err != nil {
				b.t.Fatal(err)
			}
			b.await("the fleet is ready", b.f.IsReady)
			b.want("repeat", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 0)
			if late := b.send(a, attempt, "body"); late.Refusal == nil {
				b.t.Error("the new incarnation ran a call that names the old one")
			}
			b.want("a new key", b.reserve("k2", "body"), 200, "", false, "body", 1)
		},
		"the agent is replaced while it runs": func(b *bench) {
			b.services(slow)
			var callers sync.WaitGroup
			callers.Go(func() {
				b.want("sender", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
			})
			b.await("it runs", func() bool { return b.reservationRuns("body") == 1 })
			for _, a := range b.f.AgentsOf("reservations") {
				if err := b.f.Replace(b.t.Context(), a); err != nil {
					b.t.Fatal(err)
				}
			}
			callers.Wait()
			b.want("repeat", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
		},
		"the claim's answer is lost": func(b *bench) {
			b.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
			b.want("first", b.reserve("k", "body"), 200, "", false, "body", 1)
			b.want("repeat", b.via(5).reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the claim is written late": func(b *bench) {
			b.platform.SetFaults(standin.PlatformFaults{DelayWrites: 3, WriteDelay: 2 * time.Second})
			b.want("first", b.reserve("k", "body"), 503, foxtailwharf.ReasonStoreUnavailable, false, "body", 0)
			time.Sleep(3 * time.Second)
			b.want("repeat", b.via(5).reserve("k", "body"), 200, "", false, "body", 1)
			b.want("another", b.reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the store is out": func(b *bench) {
			ticket := b.ticket()
			b.platform.SetFaults(standin.PlatformFaults{IsDown: true})
			b.want("a key", b.reserve("k", "body"), 503, foxtailwharf.ReasonStoreUnavailable, false, "body", 0)
			b.want("a ticket", b.reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
			b.want("its repeat through another entry", b.via(4).reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
		},
		"a ticket is forged": func(b *bench) {
			ticket := b.ticket()
			b.want("forged", b.reserveByTicket("x"+ticket, "body"), 400, foxtailwharf.ReasonTicketInvalid, true, "body", 0)
		},
		"a ticket is used by another account": func(b *bench) {
			b.want("stolen", b.as("demo-dispatcher").reserveByTicket(b.ticket(), "body"), 400, foxtailwharf.ReasonTicketInvalid, true, "body", 0)
		},
		"a ticket has expired": func(b *bench) {
			ticket := b.ticket()
			b.want("in time", b.reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
			time.Sleep(11 * time.Minute)
			b.want("late", b.reserveByTicket(ticket, "body"), 410, foxtailwharf.ReasonTicketExpired, false, "body", 1)
		},
		"a ticket's key has another body": func(b *bench) {
			ticket := b.ticket()
			b.want("first", b.reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
			b.want("other", b.reserveByTicket(ticket, "other"), 422, foxtailwharf.ReasonKeyReused, false, "other", 0)
		},
		"keys overflow": func(b *bench) {
			first := b.ticket()
			for n := range 40 {
				b.want("filler", b.reserve(fmt.Sprint("filler ", n), fmt.Sprint("filler ", n)), 200, "", false, fmt.Sprint("filler ", n), 1)
			}
			a := b.reserveByTicket(first, "body")
			if reason, isNotRun := problemOf(a); reason != string(foxtailwharf.ReasonKeyForgotten) || isNotRun {
				b.t.Errorf("a ticket of a forgotten generation got status %d, %s, not run %t", a.status, reason, isNotRun)
			}
			b.want("the first filler's repeat", b.reserve("filler 0", "filler 0"), 410, foxtailwharf.ReasonKeyForgotten, false, "filler 0", 1)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{assistants: 1, change: func(c *fleet.Config) {
					c.ChangeAgent = func(_ int, s *foxtailwharf.AgentSettings) { s.Keys = 8 }
				}})
				run(b)
				b.stop()
			})
		})
	}
}

// services sets the faults of all reservation services.
func (b *bench) services(faults standin.ServiceFaults) {
	for _, a := range b.f.AgentsOf("reservations") {
		if s, isService := a.Upstream.(*standin.Service); isService {
			s.SetFaults(faults)
		}
	}
}

// TestRefusedForGood refuses a key as not run while another sender of it is frozen:
// the sender, thawed, must not run it after the caller was told.
func TestRefusedForGood(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 1, change: func(c *fleet.Config) {
			c.Services[1].Document = strings.Replace(fleet.DemoReservations, "Slots: 4", "Slots: 1\nQueue: 1", 1)
		}})
		b.services(standin.ServiceFaults{Latency: time.Second})
		var fillers sync.WaitGroup
		for n := range 12 {
			fillers.Go(func() { b.via(n%6).reserve(fmt.Sprint("filler ", n), fmt.Sprint("filler ", n)) })
		}
		time.Sleep(500 * time.Millisecond)
		var frozen []wire.Attempt
		agents := b.f.AgentsOf("reservations")
		for n, a := range agents {
			frozen = append(frozen, b.claimOf(a, fmt.Sprint("key ", n), fmt.Sprint("body ", n)))
		}
		for n := range agents {
			a := b.reserve(fmt.Sprint("key ", n), fmt.Sprint("body ", n))
			_, isNotRun := problemOf(a)
			fillers.Wait()
			b.send(agents[n], frozen[n], fmt.Sprint("body ", n))
			if runs := b.reservationRuns(fmt.Sprint("body ", n)); isNotRun && runs > 0 {
				t.Errorf("key %d was refused as not run and then ran", n)
			}
		}
		b.stop()
	})
}

// TestNotSentTwice shows that net/http sends a POST with an Idempotency-Key again
// by itself when a reused connection breaks, and that the way in which calls are
// sent upstream keeps it from doing so.
func TestNotSentTwice(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		header string
		isOnce bool
		want   int
	}{
		{"net/http on its own", "Idempotency-Key", false, 3},
		{"without the header", "X-Other", false, 2},
		{"as calls are sent upstream", "Idempotency-Key", true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fabric := standin.NewFabric(time.Millisecond, 0)
				server, client := fabric.Host("a", "a", 0), fabric.Host("b", "b", 0)
				service := standin.NewService()
				address := newAddresses()()
				s, err := standin.Serve(t.Context(), server, address, breakSecond(service))
				if err != nil {
					t.Fatal(err)
				}
				transport := &http.Transport{DialContext: dialFrom(client), DisableKeepAlives: tt.isOnce}
				for range 2 {
					request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/", bytes.NewReader([]byte("body")))
					request.Header.Set(tt.header, "key")
					if response, err := transport.RoundTrip(request); err == nil {
						// The connection is used again only if the answer was read.
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				}
				if got := service.Runs("body"); got != tt.want {
					t.Errorf("two calls ran %d times, want %d", got, tt.want)
				}
				transport.CloseIdleConnections()
				s.Close()
			})
		})
	}
}

// breakSecond runs every call and breaks the connection in place of the second
// answer.
func breakSecond(service *standin.Service) http.Handler {
	calls := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 2 {
			service.SetFaults(standin.ServiceFaults{BreakAnswers: 1})
		}
		service.ServeHTTP(w, r)
	})
}
