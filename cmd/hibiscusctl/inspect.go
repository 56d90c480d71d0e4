package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

const (
	argAddress = "address"
	// inspectTimeout limits the status request, which a gateway answers within
	// milliseconds.
	inspectTimeout = 5 * time.Second
	// maxStatusBytes limits the response: 12,000 servers of some 200 bytes each fit.
	maxStatusBytes = 16 << 20
)

func inspectCommand() *cli.Command {
	return &cli.Command{
		Name:      "inspect",
		Usage:     "show the state that a gateway uses: layers and their coverage, configuration, lease, members",
		ArgsUsage: "HOST:PORT (of its metrics)",
		Arguments: []cli.Argument{&cli.StringArg{Name: argAddress}},
		Flags:     []cli.Flag{&cli.BoolFlag{Name: flagJSON, Usage: "print the response as JSON"}},
		Action:    inspect,
	}
}

func inspect(ctx context.Context, cmd *cli.Command) error {
	address := cmd.StringArg(argAddress)
	if address == "" {
		return exitErrorf(exitBadInput, "no gateway address given")
	}
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	s, err := fetchStatus(ctx, address)
	if err != nil {
		return exitErrorf(exitFailed, "%v", err)
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd.Writer, s)
	}
	printGateway(cmd.Writer, s)
	return nil
}

func fetchStatus(ctx context.Context, address string) (*gateway.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: &httpanswer.Transport{}}).Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", address, resp.Status)
	}
	var s gateway.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return &s, nil
}

func printGateway(out io.Writer, s *gateway.Status) {
	printf(out, "gateway %s, ready %t, draining %t, %d streams\n", s.Daemon, s.Ready, s.Draining, s.Streams)
	printf(out, "configuration version %d, current %.1f s ago, %s\n", s.Config.Version, s.Config.AgeSeconds, s.Config.Source)
	printf(out, "servers current %.1f s ago, %s\n", s.Servers.AgeSeconds, s.Servers.Source)
	if s.Lease.Held {
		printf(out, "holds the lease, fencing number %d, %d orders in flight\n", s.Lease.Fence, s.Lease.PendingOrders)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "\nMEMBER\tSTATE\tDRAINING\tDOMAIN\tADDRESS\n")
	for _, m := range s.Members {
		printf(w, "%s\t%s\t%t\t%s\t%s\n", m.ID, m.State, m.Draining, m.Domain, m.Address)
	}
	_ = w.Flush()
	for i := range s.Services {
		printService(out, &s.Services[i])
	}
}

func printService(out io.Writer, s *gateway.ServiceStatus) {
	printf(out, "\nservice %s, %d retries left\n", s.ID, s.RetriesLeft)
	if s.Layers > 0 {
		printf(out, "%d layers, %d uncovered; complete in %v; copies %s\n", s.Layers, s.UncoveredLayers, s.CompleteDomains, formatCopies(s.LayerCopies))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "SERVER\tADDRESS\tDOMAIN\tKIND\tLAYERS\tSTATE\tREQUESTS\tTOKENS\tCAPACITY\n")
	for i := range s.Servers {
		r := &s.Servers[i]
		printf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%d\n", r.ID, r.Address, r.Domain, r.Kind, r.Layers, serverState(r), r.Requests, r.ReservedTokens, r.CapacityTokens)
	}
	_ = w.Flush()
	if s.Shares != nil {
		printShares(out, s.Shares)
	}
}

func printShares(out io.Writer, s *gateway.ShareStatus) {
	printf(out, "contended %t; %.0f tokens admitted lately at %d daemons, %.1f s ago; share %.0f\n", s.Contended, s.Total, s.Daemons, s.AgeSeconds, s.Share)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "CUSTOMER\tUSED\tSHARE\tEXCESS\n")
	for _, c := range s.Customers {
		printf(w, "%s\t%.0f\t%.0f\t%.2f\n", c.Customer, c.Used, c.Share, c.Excess)
	}
	_ = w.Flush()
}

func serverState(s *gateway.ServerStatus) string {
	switch {
	case s.Dead:
		return "dead"
	case s.Draining || s.Refusing || s.Departing:
		return "leaving"
	case s.RetryAfter > 0:
		return "waiting"
	case s.Outdated:
		return "outdated"
	case s.Avoided:
		return "avoided"
	case s.Ejected:
		return "ejected"
	default:
		return "used"
	}
}

// formatCopies returns text such as "0-15:2 15-30:3".
func formatCopies(runs map[string]int) string {
	parts := make([]string, 0, len(runs))
	for _, run := range slices.SortedFunc(maps.Keys(runs), byFirstLayer) {
		parts = append(parts, fmt.Sprintf("%s:%d", run, runs[run]))
	}
	return strings.Join(parts, " ")
}

func byFirstLayer(a, b string) int {
	var x, y int
	_, _ = fmt.Sscanf(a, "%d", &x) // the gateway formats these ranges
	_, _ = fmt.Sscanf(b, "%d", &y)
	return x - y
}
