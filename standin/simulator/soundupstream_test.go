package simulator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// plainUpstream is a sound upstream of the plain service, which may fall silent for a while.
type plainUpstream struct {
	record func(call, upstream string) // called when a call has been read, after which it runs
	id     string

	mu          sync.Mutex
	silentUntil time.Time
}

// plainWork is how long a plain upstream works on a call.
const plainWork = 30 * time.Millisecond

// fallSilent makes the upstream answer nothing for a time.
func (u *plainUpstream) fallSilent(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silentUntil = time.Now().Add(d)
}

// awaitSpeech waits for the end of a silence. It reports whether the caller is still there.
func (u *plainUpstream) awaitSpeech(ctx context.Context) bool {
	u.mu.Lock()
	left := time.Until(u.silentUntil)
	u.mu.Unlock()
	select {
	case <-time.After(max(left, 0)):
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP answers a call with its own body.
func (u *plainUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := r.Header.Get(standin.HeaderCall)
	w.Header().Set(standin.HeaderCall, call)
	if r.Header.Get(standin.HeaderExpectUpstream) != u.id {
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !u.awaitSpeech(r.Context()) {
		return
	}
	u.record(call, u.id)
	time.Sleep(plainWork)
	if !u.awaitSpeech(r.Context()) {
		return
	}
	w.Header().Set(standin.HeaderSigned, u.id)
	_, _ = w.Write(body)
}

// serveSoundPlain serves the plain upstreams.
func (h *harness) serveSoundPlain(count int, record func(call, upstream string)) (upstreams []*plainUpstream) {
	for index := range count {
		u := &plainUpstream{id: fmt.Sprintf("plain-%d", index), record: record}
		server, err := standin.Serve(h.t.Context(), h.CallerHost(), h.PlainAddress(index), u)
		if err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(server.Close)
		upstreams = append(upstreams, u)
	}
	return upstreams
}

// soundRoute is a route of the days on which only sound upstreams are disturbed.
type soundRoute struct {
	name        string
	kind        foxtailwharf.CallKind
	service     string
	isResumable bool
	limit       time.Duration // of callers
}

func soundRoutes() []soundRoute {
	return []soundRoute{
		{"chat", foxtailwharf.CallStream, "llm", true, 6 * time.Second},
		{"talk", foxtailwharf.CallStream, "llm", false, 6 * time.Second},
		{"look", foxtailwharf.CallRepeatable, "plain", false, 2500 * time.Millisecond},
		{"book", foxtailwharf.CallOnce, "plain", false, 2500 * time.Millisecond},
		{"find", foxtailwharf.CallRepeatable, "llm", false, 6 * time.Second},
		{"order", foxtailwharf.CallOnce, "llm", false, 6 * time.Second},
	}
}
