package main

import (
	"sync"
	"time"
)

const (
	restartDelay  = 300 * time.Millisecond // of the platform
	endsToBreak   = 3                      // ends of a machine's process in the day
	brokenToBreak = 2                      // machines, of less than twenty
)

// guard does what the platform does: it kills a process that exceeds its memory, and starts it again.
type guard struct {
	p      *process
	memory int64 // memory-mb of the machine, in bytes
	done   chan struct{}
	stop   chan struct{}

	mu   sync.Mutex
	ends int
	peak int64
}

func watchMemory(p *process, memory int64) *guard {
	g := &guard{p: p, memory: memory, done: make(chan struct{}), stop: make(chan struct{})}
	go g.run()
	return g
}

func (g *guard) run() {
	defer close(g.done)
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := g.p.memory()
		g.mu.Lock()
		g.peak = max(g.peak, used)
		g.mu.Unlock()
		if used <= g.memory {
			continue
		}
		g.p.r.log("%s uses %d MB of %d and is killed by the platform", g.p.name, used>>20, g.memory>>20)
		g.p.kill()
		g.mu.Lock()
		g.ends++
		g.mu.Unlock()
		time.Sleep(restartDelay)
		if err := g.p.start(); err != nil {
			g.p.r.log("%s does not start: %v", g.p.name, err)
			return
		}
	}
}

// endGuards ends guards and reports whether enough machines have lost their process often enough.
func endGuards(r *rig, guards []*guard) bool {
	broken := 0
	for _, g := range guards {
		close(g.stop)
		<-g.done
		r.log("%s: killed %d times, most memory seen %d MB of %d", g.p.name, g.ends, g.peak>>20, g.memory>>20)
		if g.ends >= endsToBreak {
			broken++
		}
	}
	r.log("%d machines have lost their process %d times or more; %d break the rule", broken, endsToBreak, brokenToBreak)
	return broken >= brokenToBreak
}
