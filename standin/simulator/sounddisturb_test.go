package simulator_test

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// disturb plays one disturbance that excuses nothing, from a random time on.
func (d *soundDay) disturb(random *rand.Rand) {
	kinds := map[string]func(*rand.Rand){
		"silence": d.silence, "change": d.change, "stops": d.stopInTurn, "releases": d.nameVersions, "store": d.troubleStore,
		"lapse": d.lapse, "restore": d.restore, "burst": d.playBurst, "leave": d.playLeavers, "foreign": d.foreignRecords,
	}
	names := []string{"silence", "silence", "silence", "change", "change", "change", "stops", "releases", "store", "lapse", "restore", "foreign", "burst", "leave"}
	name := names[random.IntN(len(names))]
	if *soundKinds != "" {
		name = *soundKinds
	}
	start := time.Duration(random.Int64N(int64(soundLength - 4*time.Second)))
	d.tasks.Go(func() {
		time.Sleep(start)
		kinds[name](random)
	})
}

// between draws a time.
func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// silence makes some or all upstreams silent once or twice.
func (d *soundDay) silence(random *rand.Rand) {
	share := []float64{0.3, 0.6, 1}[random.IntN(3)]
	withPlain, withEngines := random.IntN(3) > 0, random.IntN(3) > 0
	for range 1 + random.IntN(2) {
		longest := time.Duration(0)
		for _, e := range d.h.Engines {
			if length := between(random, 300*time.Millisecond, *soundSilence); withEngines && random.Float64() < share && d.mayFallSilent(e.ID, length) {
				e.FallSilent(length)
				longest = max(longest, length)
				d.lapseWhileSilent(random, e, length)
			}
		}
		for _, u := range d.plain {
			if length := between(random, 300*time.Millisecond, *soundSilence); withPlain && random.Float64() < share && d.mayFallSilent(u.id, length) {
				u.fallSilent(length)
				longest = max(longest, length)
			}
		}
		d.note("silence of %.1f of the upstreams for up to %s", share, longest)
		time.Sleep(longest + between(random, 50*time.Millisecond, time.Second))
	}
}

// lapseWhileSilent lets the record of an engine expire during some of its silences. It returns with the engine.
func (d *soundDay) lapseWhileSilent(random *rand.Rand, e *simulator.Engine, length time.Duration) {
	lapsesIn := between(random, 300*time.Millisecond, 1500*time.Millisecond)
	if random.IntN(3) > 0 || lapsesIn >= length {
		return
	}
	time.AfterFunc(lapsesIn, func() { d.h.Store.RemoveUpstream(e.ID) })
	time.AfterFunc(length, e.PutUpstream)
}

// foreignRecords puts records of another writer, which tell no start, in the place of some engines' for a while.
func (d *soundDay) foreignRecords(random *rand.Rand) {
	d.note("records without a start")
	for _, e := range d.h.Engines {
		if random.IntN(2) == 0 {
			e.PutUpstreamBorn(time.UnixMilli(0))
			time.AfterFunc(between(random, 100*time.Millisecond, 1500*time.Millisecond), e.PutUpstream)
		}
	}
}

// betweenSilences is the shortest time between two silences of an upstream.
const betweenSilences = 100 * time.Millisecond

// mayFallSilent reports whether an upstream may fall silent for a time now, and takes that as said.
func (d *soundDay) mayFallSilent(id string, length time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.silentUntil[id].Add(betweenSilences)) {
		return false
	}
	d.silentUntil[id] = time.Now().Add(length)
	return true
}

// change changes the configuration, several times within a second.
func (d *soundDay) change(random *rand.Rand) {
	for range 1 + random.IntN(5) {
		d.mu.Lock()
		c := &d.configuration
		c.Version += 1 + random.Int64N(5)
		c.Routes = append([]foxtailwharf.CallRoute(nil), c.Routes...)
		for index := range c.Routes {
			if random.IntN(2) == 0 {
				c.Routes[index].Timeout = between(random, 2500*time.Millisecond, 10*time.Second)
				c.Routes[index].Targets = []foxtailwharf.CallTarget{{Service: c.Routes[index].Targets[0].Service, Weight: 1 + random.Float64()}}
			}
		}
		keys := make(map[string]foxtailwharf.CallAccount)
		keys[simulator.Key] = c.Keys[simulator.Key]
		if random.IntN(2) == 0 {
			keys["k2"] = foxtailwharf.CallAccount{Name: "a-k2"}
		}
		c.Keys = keys
		if random.IntN(2) == 0 {
			c.Limits = foxtailwharf.CallLimits{
				HeaderBytes: 1024 << random.IntN(4), BodyBytes: 64 << 10 << random.IntN(3),
				HeaderTimeout: between(random, time.Second, 5*time.Second), IdleTimeout: between(random, 2*time.Second, 15*time.Second),
			}
		}
		version := c.Version
		limits := c.Limits
		d.mu.Unlock()
		d.put()
		d.note("configuration %d, limits %v", version, limits)
		time.Sleep(between(random, 30*time.Millisecond, 500*time.Millisecond))
	}
}

// stopInTurn stops some entries one after the other, which overlap by chance.
func (d *soundDay) stopInTurn(random *rand.Rand) {
	for _, index := range random.Perm(len(d.h.Entries))[:1+random.IntN(2)] {
		e := d.h.Entries[index]
		d.mu.Lock()
		isBusy := len(d.stops[e.Name]) > 0
		d.mu.Unlock()
		if isBusy {
			continue
		}
		other := rand.New(rand.NewPCG(random.Uint64(), 2))
		d.tasks.Go(func() { d.stop(other, e) })
		time.Sleep(between(random, 500*time.Millisecond, 4*time.Second))
	}
}

// nameVersions names versions of the weights, several in a row.
func (d *soundDay) nameVersions(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		d.mu.Lock()
		d.weights++
		version := d.weights
		d.changes = append(d.changes, time.Now())
		d.mu.Unlock()
		d.h.release(version)
		d.note("version %d", version)
		time.Sleep(between(random, 200*time.Millisecond, 4*time.Second))
	}
}

// troubleStore makes the store silent, unavailable or forgetful, for some or all entries.
func (d *soundDay) troubleStore(random *rand.Rand) {
	kind := random.IntN(4)
	share := []float64{0.4, 1}[random.IntN(2)]
	d.note("store trouble %d for %.1f", kind, share)
	for range 1 + random.IntN(3) {
		var views []string
		for _, e := range d.h.Entries {
			if random.Float64() < share {
				views = append(views, e.Name)
			}
		}
		length := between(random, 300*time.Millisecond, 5*time.Second)
		for _, v := range views {
			switch kind {
			case 0:
				d.h.Store.SetSilent(v, true)
			case 1:
				d.h.Store.SetUnavailable(v, true)
			case 2:
				d.h.Store.DropAnswer(v, foxtailwharf.SubjectConfiguration)
				d.h.Store.DropAnswer(v, foxtailwharf.SubjectUpstreams)
				d.h.Store.DropAnswer(v, foxtailwharf.SubjectReleases)
			}
		}
		if kind == 3 {
			d.h.Store.Compact()
		}
		time.Sleep(length)
		for _, v := range views {
			d.h.Store.SetSilent(v, false)
			d.h.Store.SetUnavailable(v, false)
		}
		time.Sleep(between(random, 50*time.Millisecond, time.Second))
	}
}

// lapse lets records of upstreams expire while the store is away, and return in time.
func (d *soundDay) lapse(random *rand.Rand) {
	d.note("the store is away, and records lapse")
	d.h.setStoreAway(true)
	time.Sleep(between(random, time.Second, 4*time.Second))
	lapsed := d.h.Engines[:1+random.IntN(len(d.h.Engines))]
	for _, e := range lapsed {
		d.h.Store.RemoveUpstream(e.ID)
	}
	d.h.setStoreAway(false)
	time.Sleep(between(random, 100*time.Millisecond, 1800*time.Millisecond))
	for _, e := range lapsed {
		e.PutUpstream()
	}
}

// restore lets the store come back from a copy that is some seconds old. All that others wrote is written again.
func (d *soundDay) restore(random *rand.Rand) {
	older := d.h.Store.Copy()
	time.Sleep(between(random, time.Second, 5*time.Second))
	d.note("restore")
	d.h.Store.Restore(older)
	time.Sleep(between(random, 100*time.Millisecond, 1500*time.Millisecond))
	d.put()
	d.mu.Lock()
	version := d.weights
	d.mu.Unlock()
	if version > 1 {
		d.h.release(version)
	}
	for _, e := range d.h.Engines {
		e.PutUpstream()
	}
}

// playBurst makes callers press for a while.
func (d *soundDay) playBurst(random *rand.Rand) {
	factor := 2 + 4*random.Float64()
	d.note("burst of %.1f", factor)
	d.setBurst(factor)
	time.Sleep(between(random, 500*time.Millisecond, 4*time.Second))
	d.setBurst(1)
}

func (d *soundDay) setBurst(factor float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.burst = factor
}

// playLeavers makes many callers leave for a while.
func (d *soundDay) playLeavers(random *rand.Rand) {
	d.note("callers leave")
	d.setLeavers(0.4)
	time.Sleep(between(random, time.Second, 4*time.Second))
	d.setLeavers(0)
}

func (d *soundDay) setLeavers(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaveShare = share
}
