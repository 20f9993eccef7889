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

// reservationRuns returns how often the reservation services ran a body.
func (b *bench) reservationRuns(body string) (count int) {
	for _, a := range b.f.AgentsOf("reservations") {
		if s, isService := a.Upstream.(*standin.Service); isService {
			count += s.Runs(body)
		}
	}
	return count
}

// check checks the status of an answer, the reason and NotRun of a refusal, and how often the body
// ran.
func (b *bench) check(what string, a answer, status int, reason foxtailwharf.Reason, isNotRun bool, body string, runs int) {
	b.t.Helper()
	gotReason, gotNotRun := problemOf(a)
	if a.err != nil || a.status != status || (status != http.StatusOK && (gotReason != string(reason) || gotNotRun != isNotRun)) {
		b.t.Errorf("%s: got status %d, %s, not run %t, error %v; want status %d, %s, not run %t", what, a.status, gotReason, gotNotRun, a.err, status, reason, isNotRun)
	}
	if got := b.reservationRuns(body); got != runs {
		b.t.Errorf("%s: the call ran %d times, want %d", what, got, runs)
	}
}

// claimForCrashedEntry claims a key for an agent, as an entry does that crashes before it sends the
// attempt, and returns that attempt.
func (b *bench) claimForCrashedEntry(a *fleet.Agent, key, body string) wire.Attempt {
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

// sendAttempt sends an attempt directly to an agent, as an entry does that was paused, and returns
// the answer.
func (b *bench) sendAttempt(a *fleet.Agent, attempt wire.Attempt, body string) (answer wire.Answer) {
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

// TestAtMostOnce covers the ways in which an at-most-once call can be sent more than once, and the
// refusals of its keys and tickets.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	slowService := standin.ServiceFaults{Latency: 300 * time.Millisecond}
	tests := map[string]func(b *bench){
		"the same key concurrently through all entries": func(b *bench) {
			var callers sync.WaitGroup
			for n := range 6 {
				callers.Go(func() { b.check("sender", b.via(n).reserve("k", "body"), 200, "", false, "body", 1) })
			}
			callers.Wait()
		},
		"the service breaks the connection": func(b *bench) {
			b.setServiceFaults(standin.ServiceFaults{AbortResponses: 100})
			b.check("first", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
			b.setServiceFaults(standin.ServiceFaults{})
			b.check("repeat", b.via(4).reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
		},
		"the caller disconnects while the call runs": func(b *bench) {
			b.setServiceFaults(slowService)
			ctx, cancel := context.WithTimeout(b.t.Context(), 100*time.Millisecond)
			defer cancel()
			b.do(ctx, http.MethodPost, "/reservations/dates", "body", http.Header{"Idempotency-Key": {"k"}})
			b.check("repeat", b.via(2).reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the entry crashes after the attempt": func(b *bench) {
			b.setServiceFaults(slowService)
			var callers sync.WaitGroup
			callers.Go(func() { b.reserve("k", "body") })
			b.await("the call runs", func() bool { return b.reservationRuns("body") == 1 })
			b.hosts["entry-0"].Kill()
			callers.Wait()
			b.check("repeat", b.via(3).reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the entry is paused between claim and attempt": func(b *bench) {
			a := b.f.AgentsOf("reservations")[1]
			attempt := b.claimForCrashedEntry(a, "k", "body")
			b.check("repeat", b.via(3).reserve("k", "body"), 200, "", false, "body", 1)
			if late := b.sendAttempt(a, attempt, "body"); late.Refusal != nil || !late.IsReplayed {
				b.t.Errorf("the late attempt got %+v, want the stored answer", late)
			}
			b.check("another repeat", b.reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the claimed agent is replaced before the attempt": func(b *bench) {
			a := b.f.AgentsOf("reservations")[1]
			attempt := b.claimForCrashedEntry(a, "k", "body")
			if err := b.f.ReplaceAgent(b.t.Context(), a); err != nil {
				b.t.Fatal(err)
			}
			b.await("the fleet is ready", b.f.IsReady)
			b.check("repeat", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 0)
			if late := b.sendAttempt(a, attempt, "body"); late.Refusal == nil {
				b.t.Error("the new incarnation ran an attempt addressed to the old one")
			}
			b.check("a new key", b.reserve("k2", "body"), 200, "", false, "body", 1)
		},
		"the agent is replaced while the call runs": func(b *bench) {
			b.setServiceFaults(slowService)
			var callers sync.WaitGroup
			callers.Go(func() {
				b.check("sender", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
			})
			b.await("the call runs", func() bool { return b.reservationRuns("body") == 1 })
			for _, a := range b.f.AgentsOf("reservations") {
				if err := b.f.ReplaceAgent(b.t.Context(), a); err != nil {
					b.t.Fatal(err)
				}
			}
			callers.Wait()
			b.check("repeat", b.reserve("k", "body"), 502, foxtailwharf.ReasonOutcomeUnknown, false, "body", 1)
		},
		"the response to the claim is lost": func(b *bench) {
			b.platform.SetFaults(standin.PlatformFaults{LoseResponses: 1})
			b.check("first", b.reserve("k", "body"), 200, "", false, "body", 1)
			b.check("repeat", b.via(5).reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the claim is written late": func(b *bench) {
			b.platform.SetFaults(standin.PlatformFaults{DelayWrites: 3, WriteDelay: 2 * time.Second})
			b.check("first", b.reserve("k", "body"), 503, foxtailwharf.ReasonStoreUnavailable, false, "body", 0)
			time.Sleep(3 * time.Second)
			b.check("repeat", b.via(5).reserve("k", "body"), 200, "", false, "body", 1)
			b.check("another", b.reserve("k", "body"), 200, "", false, "body", 1)
		},
		"the store is out": func(b *bench) {
			ticket := b.ticket()
			b.platform.SetFaults(standin.PlatformFaults{IsDown: true})
			b.check("a key", b.reserve("k", "body"), 503, foxtailwharf.ReasonStoreUnavailable, false, "body", 0)
			b.check("a ticket", b.reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
			b.check("its repeat through another entry", b.via(4).reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
		},
		"a ticket is forged": func(b *bench) {
			ticket := b.ticket()
			b.check("forged", b.reserveByTicket("x"+ticket, "body"), 400, foxtailwharf.ReasonTicketInvalid, true, "body", 0)
		},
		"a ticket is used by another account": func(b *bench) {
			b.check("stolen", b.as("demo-dispatcher").reserveByTicket(b.ticket(), "body"), 400, foxtailwharf.ReasonTicketInvalid, true, "body", 0)
		},
		"a ticket has expired": func(b *bench) {
			ticket := b.ticket()
			b.check("in time", b.reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
			time.Sleep(11 * time.Minute)
			b.check("late", b.reserveByTicket(ticket, "body"), 410, foxtailwharf.ReasonTicketExpired, false, "body", 1)
		},
		"a ticket's key has another body": func(b *bench) {
			ticket := b.ticket()
			b.check("first", b.reserveByTicket(ticket, "body"), 200, "", false, "body", 1)
			b.check("other", b.reserveByTicket(ticket, "other"), 422, foxtailwharf.ReasonKeyReused, false, "other", 0)
		},
		"more keys than an agent remembers": func(b *bench) {
			first := b.ticket()
			for n := range 40 {
				b.check("filler", b.reserve(fmt.Sprint("filler ", n), fmt.Sprint("filler ", n)), 200, "", false, fmt.Sprint("filler ", n), 1)
			}
			a := b.reserveByTicket(first, "body")
			if reason, isNotRun := problemOf(a); reason != string(foxtailwharf.ReasonKeyForgotten) || isNotRun {
				b.t.Errorf("a ticket of a forgotten generation: got status %d, %s, not run %t; want KeyForgotten and not run false", a.status, reason, isNotRun)
			}
			b.check("the first filler's repeat", b.reserve("filler 0", "filler 0"), 410, foxtailwharf.ReasonKeyForgotten, false, "filler 0", 1)
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

// setServiceFaults sets the faults of all reservation services.
func (b *bench) setServiceFaults(faults standin.ServiceFaults) {
	for _, a := range b.f.AgentsOf("reservations") {
		if s, isService := a.Upstream.(*standin.Service); isService {
			s.SetFaults(faults)
		}
	}
}

// TestNotRunIsFinal has a caller's key refused as not run while another entry that claimed the key
// is paused. Its attempt, sent after the refusal, must not run the call.
func TestNotRunIsFinal(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 1, change: func(c *fleet.Config) {
			c.Services[1].Document = strings.Replace(fleet.DemoReservations, "Slots: 4", "Slots: 1\nQueue: 1", 1)
		}})
		b.setServiceFaults(standin.ServiceFaults{Latency: time.Second})
		var fillers sync.WaitGroup
		for n := range 12 {
			fillers.Go(func() { b.via(n%6).reserve(fmt.Sprint("filler ", n), fmt.Sprint("filler ", n)) })
		}
		time.Sleep(500 * time.Millisecond)
		var delayed []wire.Attempt
		agents := b.f.AgentsOf("reservations")
		for n, a := range agents {
			delayed = append(delayed, b.claimForCrashedEntry(a, fmt.Sprint("key ", n), fmt.Sprint("body ", n)))
		}
		for n := range agents {
			a := b.reserve(fmt.Sprint("key ", n), fmt.Sprint("body ", n))
			_, isNotRun := problemOf(a)
			fillers.Wait()
			b.sendAttempt(agents[n], delayed[n], fmt.Sprint("body ", n))
			if runs := b.reservationRuns(fmt.Sprint("body ", n)); isNotRun && runs > 0 {
				t.Errorf("key %d ran after it was refused as not run", n)
			}
		}
		b.stop()
	})
}

// TestTransportRetry shows that net/http itself retries a POST with an Idempotency-Key when
// a reused connection breaks, and that sending each call upstream on a new connection prevents
// this.
func TestTransportRetry(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name              string
		header            string
		disableKeepAlives bool
		want              int
	}{
		{"default transport", "Idempotency-Key", false, 3},
		{"default transport without the header", "X-Other", false, 2},
		{"one connection per call", "Idempotency-Key", true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := standin.NewMemoryNetwork(time.Millisecond, 0)
				server, client := network.Host("a", "a", 0), network.Host("b", "b", 0)
				service := standin.NewService()
				address := newAddresses()()
				s, err := standin.Serve(t.Context(), server, address, breakSecondResponse(service))
				if err != nil {
					t.Fatal(err)
				}
				transport := &http.Transport{DialContext: dialFrom(client), DisableKeepAlives: tt.disableKeepAlives}
				for range 2 {
					request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/", bytes.NewReader([]byte("body")))
					request.Header.Set(tt.header, "key")
					if response, err := transport.RoundTrip(request); err == nil {
						// The transport reuses a connection only if the response was read.
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

// breakSecondResponse returns a handler that runs every call, but breaks the connection instead of
// the second response.
func breakSecondResponse(service *standin.Service) http.Handler {
	calls := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 2 {
			service.SetFaults(standin.ServiceFaults{AbortResponses: 1})
		}
		service.ServeHTTP(w, r)
	})
}

// TestCallsAtEndOfEntrysGrace guards against calls that are cut with no answer at the end of an entry's graceful
// shutdown.
func TestCallsAtEndOfEntrysGrace(t *testing.T) {
	t.Parallel()
	const grace = 5 * time.Second
	for _, latency := range []time.Duration{time.Second, 8 * time.Second} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{change: func(c *fleet.Config) { c.ChangeEntry = setNotice }})
				b.setServiceFaults(standin.ServiceFaults{Latency: latency})
				stopAt := time.Now().Add(2 * time.Second)
				var callers sync.WaitGroup
				for n, offset := range []time.Duration{-time.Second, -100 * time.Millisecond, 0} {
					callers.Go(func() {
						time.Sleep(time.Until(stopAt.Add(offset)))
						a := b.reserve(fmt.Sprint("k", n), "body")
						isDone := latency < grace
						if a.err != nil || isDone != (a.status == http.StatusOK) || (!isDone && a.status < http.StatusInternalServerError) {
							t.Errorf("a call %s after the signal got status %d, error %v", offset, a.status, a.err)
						}
					})
				}
				time.Sleep(time.Until(stopAt))
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				defer cancel()
				if err := b.f.Entries[0].Stop(ctx); err != nil {
					t.Errorf("the entry stopped with calls in progress: %v", err)
				}
				callers.Wait()
				b.stop()
			})
		})
	}
}
