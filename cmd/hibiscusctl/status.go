package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a daemon's status and its view of the other daemons",
		Flags: serverFlags(
			&cli.BoolFlag{Name: flagJSON, Usage: "print the response as JSON"},
		),
		Action: status,
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return exitErrorf(exitFailed, "%v", err)
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd.Writer, s)
	}
	printStatus(cmd.Writer, s)
	return nil
}

func printStatus(out io.Writer, s caller.DaemonStatus) {
	printf(out, "daemon %s, %s, %d active requests\n", s.ID, daemonState(s), s.Active)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "DAEMON\tSTATE\tADDRESS\tDOCUMENTS\n")
	printf(w, "%s\t%s\t%s\t%s\n", s.ID, "self", "", formatVersions(s.Documents))
	slices.SortFunc(s.Members, func(a, b caller.MemberStatus) int {
		return strings.Compare(string(a.Member.ID), string(b.Member.ID))
	})
	for _, m := range s.Members {
		if m.Member.ID == s.ID {
			continue // printed above as "self"
		}
		printf(w, "%s\t%s\t%s\t%s\n", m.Member, m.State, m.Address, formatVersions(m.Documents))
	}
	_ = w.Flush()
}

func daemonState(s caller.DaemonStatus) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Isolated:
		return "isolated"
	default:
		return "serving"
	}
}

// formatVersions returns text such as "alerts=3 drafts=7".
func formatVersions(documents map[state.ServiceID]state.DocumentVersion) string {
	var parts []string
	for _, id := range slices.Sorted(maps.Keys(documents)) {
		parts = append(parts, fmt.Sprintf("%s=%d", id, documents[id]))
	}
	return strings.Join(parts, " ")
}
