package forwarder

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/collector"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// Reasons why an event is not forwarded.
var (
	errSuperseded = errors.New("another upstream answers the call")
	errGivenUp    = errors.New("call was given up before its answer began")
)

// progress is how far the answer to a call has come. Two attempts may share it: one at an upstream that is
// silent, and the one that looks for another upstream meanwhile.
type progress struct {
	mu            sync.Mutex
	runs          int // attempts that may have run, those under way included
	isUnknown     bool
	failure       failure         // of the last attempt that may have run
	arbiter       arbiter.Arbiter // whether the call goes on
	isHeadSent    bool
	isEventStream bool // that head announces a stream of events
	lastEvent     string
	dataAt        time.Time // when the last event with data was about to be forwarded; zero for none
	weights       int64
	backup        *backup           // of the attempt under way; nil for none
	held          []*collector.Body // answers in memory until the call ends
	// errorAnswer is a server error of an upstream. It is forwarded if no other attempt succeeds.
	errorAnswer *bufferedAnswer
}

// position is the part of a progress from which another attempt goes on.
type position struct {
	lastEvent string
	weights   int64 // version of the weights that has answered so far; 0 for none
}

// hold keeps an answer in memory until release.
func (p *progress) hold(body *collector.Body) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = append(p.held, body)
}

// release gives up the answers that are held in memory.
func (p *progress) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.held {
		b.Release()
	}
}

// setErrorAnswer keeps a server error in case no other attempt succeeds.
func (p *progress) setErrorAnswer(answer *bufferedAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errorAnswer = answer
}

// serverError returns the last server error that was kept; nil for none.
func (p *progress) serverError() *bufferedAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.errorAnswer
}

// startRun counts an attempt that may run from now on.
func (p *progress) startRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
}

// dropRun takes back the count of an attempt that has not run.
func (p *progress) dropRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs--
}

func (p *progress) countRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// setUnknown records that an attempt may have run and that its answer cannot be forwarded.
func (p *progress) setUnknown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isUnknown = true
}

// setFailure records how an attempt that may have run has failed.
func (p *progress) setFailure(f failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = f
}

func (p *progress) lastFailure() failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

func (p *progress) hasUnknown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUnknown
}

func (p *progress) hasHead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isHeadSent
}

func (p *progress) hasBackup() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backup != nil
}

func (p *progress) position() position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return position{lastEvent: p.lastEvent, weights: p.weights}
}

// advance records that the attempt under way has received more of its answer, and ends the search for
// another upstream. It returns false if another upstream answers already: the attempt must forward nothing
// more.
func (p *progress) advance() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endSearch()
}

// advanceStream is advance for an event of a stream, which is about to be forwarded and comes from a version of the weights. An event without data
// shows no progress and ends the search only if it moves the position or begins the answer. It fails if another upstream
// answers already, or if the call was given up before its head.
func (p *progress) advanceStream(e splitter.Event, isEventStream bool, weights int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backup != nil && p.backup.state == backupChosen {
		return errSuperseded
	}
	if (e.HasData || e.ID != "" || !p.isHeadSent) && !p.endSearch() {
		return errSuperseded
	}
	if !p.isHeadSent {
		if !p.arbiter.Hear() {
			return errGivenUp
		}
		p.isHeadSent, p.isEventStream = true, isEventStream
	}
	p.weights = weights
	if e.ID != "" {
		p.lastEvent = e.ID
	}
	if e.HasData {
		p.dataAt = time.Now()
	}
	return nil
}

// lastData returns when the last event with data was about to be forwarded; zero for none.
func (p *progress) lastData() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dataAt
}

// canContinue reports whether the answer to an attempt may continue the stream that the caller has.
func (p *progress) canContinue(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.continues(a)
}

// continues is canContinue while the lock is held.
func (p *progress) continues(a *attempt) bool {
	return !p.isEventStream || (isEventStream(a.answer.Header) && a.reply.Weights == p.weights)
}

// endSearch cancels the backup. It returns false if the backup has been chosen. The lock must be held.
func (p *progress) endSearch() bool {
	b := p.backup
	if b == nil {
		return true
	}
	if b.state == backupChosen {
		return false
	}
	b.state = backupEnded
	b.cancel()
	p.backup = nil
	return true
}

// leaveBackup records that the attempt under way has ended, and ends a search that has found nothing. It returns
// the backup; nil for none.
func (p *progress) leaveBackup() *backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backup
	switch {
	case b == nil:
	case b.state == backupSearching:
		b.state = backupEnded
		b.cancel()
	case b.state == backupSent:
		b.state = backupAlone
	}
	return b
}

// dropBackup forgets a backup that is over.
func (p *progress) dropBackup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = nil
}
