package simulator_test

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// answeredLate is how much later than a time limit an answer may come.
	answeredLate = 500 * time.Millisecond
	// crossing is how soon after a request a connection may be closed that both sides have used at the same time.
	crossing = 200 * time.Millisecond
	// orderSeen is how soon after an order that cuts running calls their callers learn of it.
	orderSeen = 300 * time.Millisecond
	// stopTail is the last part of a graceful stop, in which calls that run may be cut.
	stopTail = 8 * time.Second * 5 / 6
	lastSent = 3 * time.Second
	// admission is how much later than its last byte was sent a call may be admitted.
	admission = 5 * time.Millisecond
	// recent is how long before the end of a call what happened is printed.
	recent = 9 * time.Second
	// nearLimit is how much before its limit a call may end because of it.
	nearLimit = 60 * time.Millisecond
)

// judge checks each call by what its caller has seen.
func (d *soundDay) judge(t *testing.T, seed uint64) {
	counts := make(map[string]int)
	perEntry := make(map[string]int)
	var findings []string
	for _, c := range d.calls {
		verdict, limit := d.verdict(c), d.limitOf(c)
		counts[verdict]++
		if verdict == "LOST" || verdict == "late" || verdict == "wrong" || verdict == "twice" || verdict == "broken promise" {
			perEntry[c.entry]++
			findings = append(findings, fmt.Sprintf("%s: %s %s, kept %t, begun %.3f, sent after %.3f, ended after %.3f, limit %s, starts %d, arrivals %v, error %v, stops %v, near %s",
				verdict, c.id, statusOf(c), c.isKept, c.begunAt.Sub(d.startAt).Seconds(), c.sentAt.Sub(c.begunAt).Seconds(), c.endedAt.Sub(c.begunAt).Seconds(),
				limit, d.starts[c.id], d.arrivals[c.id], c.err, d.since(d.stops[c.entry], c.endedAt), d.since(d.changes, c.endedAt)))
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	line := ""
	for _, name := range names {
		line += fmt.Sprintf(" %s=%d;", name, counts[name])
	}
	t.Logf("SUMMARY seed=%d calls=%d%s", seed, len(d.calls), line)
	for _, f := range findings {
		t.Errorf("FINDING seed=%d %s", seed, f)
	}
	for _, c := range d.calls {
		if v := d.verdict(c); v == "LOST" || *soundTrace == c.id || (*soundTrace != "" && strings.HasPrefix(v, *soundTrace)) {
			d.printLog(t, c)
		}
	}
	if len(findings) > 0 {
		t.Logf("per entry: %v", perEntry)
		for _, p := range d.played {
			t.Log(p)
		}
	}
}

// printLog prints what the entries have logged of a call.
func (d *soundDay) printLog(t *testing.T, c *soundCall) {
	for _, l := range d.logs.All() {
		fields := l.ContextMap()
		if fields["Call"] != c.id {
			continue
		}
		delete(fields, "CauseVerbose")
		t.Logf("TRACE %.3f %s %v", l.Time.Sub(d.startAt).Seconds(), l.Message, fields)
	}
}

// since returns how long before a time others are, in seconds.
func (d *soundDay) since(times []time.Time, at time.Time) (list []string) {
	for _, s := range times {
		if before := at.Sub(s); before >= 0 && before < recent {
			list = append(list, fmt.Sprintf("%.2f", before.Seconds()))
		}
	}
	return list
}

// verdict names how a call has ended, by the rule.
func (d *soundDay) verdict(c *soundCall) string {
	limit := d.limitOf(c)
	elapsed := c.endedAt.Sub(c.begunAt)
	isRepeatable := c.route.kind == foxtailwharf.CallRepeatable || c.route.isResumable
	switch {
	case !isRepeatable && d.starts[c.id] > 1:
		return "twice"
	case !isRepeatable && c.isWhole && c.status == http.StatusServiceUnavailable && d.starts[c.id] > 0:
		return "broken promise"
	case c.isLeft:
		return "left"
	case c.isWrong && c.isWhole:
		return "wrong"
	case c.isWhole && c.status == http.StatusServiceUnavailable:
		return "refused"
	case c.isWhole && c.status == http.StatusOK && elapsed > limit+answeredLate:
		return "whole, late"
	case c.isWhole && c.status == http.StatusOK:
		return "whole"
	case c.isWhole && c.status >= http.StatusInternalServerError && elapsed < limit-nearLimit:
		return fmt.Sprintf("%d early/%s/%s", c.status, c.route.name, c.reason)
	case c.isWhole:
		return fmt.Sprint(c.status)
	case c.sentAt.IsZero():
		return "not sent whole"
	case elapsed >= c.limit+lateAnswer-time.Millisecond:
		return "late"
	case elapsed >= limit-nearLimit:
		return "cut at its limit"
	case d.isOrdered(c):
		return "cut by an order"
	case d.isStopTail(c):
		return "cut at the end of a stop"
	case c.status == 0 && len(d.arrivals[c.id]) == 0 && c.endedAt.Sub(c.sentAt) <= crossing:
		return "crossed"
	default:
		return "LOST"
	}
}

// limitOf returns the shortest time limit that may apply to a call.
func (d *soundDay) limitOf(c *soundCall) time.Duration {
	limit := c.limit
	for n, s := range d.timeouts {
		isOver := n+1 < len(d.timeouts) && d.timeouts[n+1].at.Add(planGrace).Before(c.begunAt)
		if !isOver && s.at.Before(c.sentAt.Add(admission)) {
			limit = min(limit, s.timeouts[c.route.name])
		}
	}
	return limit
}

// isOrdered reports whether an order of an agent has cut a call.
func (d *soundDay) isOrdered(c *soundCall) bool {
	for _, l := range d.orders.FilterMessage("agent: ordered the engine to load the release").All() {
		fields := l.ContextMap()
		isWithin := l.Time.After(c.begunAt) && l.Time.Before(c.endedAt.Add(orderSeen))
		if fields["Cut"] == true && isWithin && slices.Contains(d.arrivals[c.id], fields["Engine"].(string)) {
			return true
		}
	}
	return false
}

// isStopTail reports whether a call was cut in the last part of a stop, when its upstream was still at work.
func (d *soundDay) isStopTail(c *soundCall) bool {
	return slices.ContainsFunc(d.stops[c.entry], func(at time.Time) bool {
		return c.endedAt.Sub(at) >= stopTail && c.endedAt.Sub(at) < stopTail+2*time.Second && c.sentAt.Sub(at) <= lastSent && len(d.arrivals[c.id]) > 0
	})
}
