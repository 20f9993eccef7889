package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// ServiceFaults are the faults that a Service injects.
type ServiceFaults struct {
	Latency time.Duration
	// AbortResponses is the number of calls that run but abort the connection instead of sending a
	// response.
	AbortResponses int
}

// Service is a fake of a plain service whose calls are not idempotent. It counts how often it ran
// each body, so that a test can find duplicates.
type Service struct {
	mu        sync.Mutex
	faults    ServiceFaults
	runs      map[string]int
	totalRuns int
}

// NewService returns a service without runs and faults.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// SetFaults replaces the faults to inject.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns how often the service ran a call with this body.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Count returns the number of calls that ran.
func (s *Service) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

// confirmation is the body of the response.
type confirmation struct {
	Confirmed string // start of the digest of the call's body
	Run       int    // number of runs of the same body, this one included
}

// ServeHTTP runs a call and confirms it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.totalRuns++
	run := s.runs[string(body)]
	isBroken := s.faults.AbortResponses > 0
	if isBroken {
		s.faults.AbortResponses--
	}
	latency := s.faults.Latency
	s.mu.Unlock()
	time.Sleep(latency)
	if isBroken {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, confirmation{Confirmed: foxtailwharf.Digest(body)[:12], Run: run})
}
