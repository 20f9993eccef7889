package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/standin/sender"
)

type loadCommand struct {
	URL     string `arg:"" help:"URL of an entry on loopback, such as http://127.0.0.1:8470."`
	Profile string `arg:"" type:"existingfile" help:"The load to send, a YAML file; see docs/OPERATIONS.md."`
	JSON    bool   `name:"json" help:"Print JSON instead of a table."`
	Seed    uint64 `default:"1" help:"Seed of the random send times."`
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *loadCommand) Help() string {
	return `Sends requests at their scheduled times without waiting for responses (open loop), so
that stalls show in the latencies. First is the time to the first byte, Whole to the last,
both measured from the scheduled time. Load is sent to loopback addresses only.`
}

// Run sends the load and prints a row of results for each flow.
func (c *loadCommand) Run(ctx context.Context) error {
	target, err := url.Parse(c.URL)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if address, err := netip.ParseAddrPort(target.Host); err != nil || !address.Addr().IsLoopback() {
		return errors.Errorf("load: %s is not a loopback IP address and a port", target.Host)
	}
	text, err := os.ReadFile(c.Profile)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	profile, err := sender.ParseProfile(text)
	if err != nil {
		return err
	}
	rows := sender.New(sender.Config{Base: "http://" + target.Host, Profile: profile, Seed: c.Seed}).Run(ctx)
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return printRows(rows)
}

func printRows(rows []sender.Row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "flow\trank\tmember\tsent\twhole\trefused\tbroken\tdropped\tfirst p50\tp95\tp99 ms\twhole p50\tp95\tp99 ms\t\n")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", r.Name, r.Rank, r.Member, r.Sent, r.Whole, r.Refused, r.Broken, r.Dropped,
			toMillis(r.FirstMicros.P50), toMillis(r.FirstMicros.P95), toMillis(r.FirstMicros.P99),
			toMillis(r.WholeMicros.P50), toMillis(r.WholeMicros.P95), toMillis(r.WholeMicros.P99))
	}
	return errors.Wrap(w.Flush(), "load")
}

func toMillis(micros int64) float64 {
	return float64(micros) / 1000
}
