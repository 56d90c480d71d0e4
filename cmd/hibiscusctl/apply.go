package main

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const (
	flagBase   = "base"
	flagEditID = "edit-id"

	// maxEditIDBytes is the longest edit ID that the daemons accept.
	maxEditIDBytes = 256
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "edit a service document",
		Arguments: []cli.Argument{&cli.StringArg{Name: argFile}},
		Flags: serverFlags(
			&cli.Uint64Flag{
				Name:     flagBase,
				Usage:    "`VERSION` that the edit is based on, as get shows it; 0 creates the document",
				Required: true,
			},
			&cli.StringFlag{
				Name:  flagEditID,
				Usage: "`ID` of this edit, to repeat one whose outcome is unknown; generated if omitted",
			},
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the version is active at every live daemon"},
			timeoutFlag(30*time.Second),
		),
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	d, err := readDocument(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	edit := caller.Edit{
		Base:   state.DocumentVersion(cmd.Uint64(flagBase)),
		EditID: cmd.String(flagEditID),
		Text:   d.Encode(),
	}
	if edit.EditID == "" {
		edit.EditID = rand.Text()
	}
	if len(edit.EditID) > maxEditIDBytes {
		return exitErrorf(exitBadInput, "--%s has %d bytes, at most %d are allowed", flagEditID, len(edit.EditID), maxEditIDBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	r := c.Apply(ctx, d.Service, edit)
	if err := reportEdit(cmd, d, edit, r); err != nil {
		return err
	}
	if !cmd.Bool(flagWait) {
		return nil
	}
	return waitActive(ctx, cmd, c, d.Service, r.Version)
}

// reportEdit prints the outcome of the edit. An edit that was not accepted is
// returned as an error with its exit code.
func reportEdit(cmd *cli.Command, d service.Document, e caller.Edit, r ctl.ApplyResult) error {
	switch r.Status {
	case caller.EditAccepted:
		printf(cmd.Writer, "%s version %d accepted, edit id %s\n", d.Service, r.Version, e.EditID)
		return nil
	case caller.EditConflict:
		return reportConflict(cmd, d, e, r)
	case caller.EditInvalid:
		return reportFaults(cmd, r.Faults)
	default:
		if r.Unreachable {
			return exitErrorf(exitFailed, "no server could be reached; nothing was changed: %v", r.Cause)
		}
		return exitErrorf(exitFailed, "whether the edit was accepted is not known: %v\nrepeat it with --base %d --edit-id %s",
			r.Cause, e.Base, e.EditID)
	}
}

// reportConflict prints the version that the edit conflicts with and the differences.
func reportConflict(cmd *cli.Command, d service.Document, e caller.Edit, r ctl.ApplyResult) error {
	if r.Unanswered > 0 {
		printf(cmd.ErrWriter, "an earlier response was lost: the edit may have been active until another edit replaced it\n")
	}
	if r.Current == nil {
		return exitErrorf(exitConflict, "the edit is based on version %d, which is not the active version", e.Base)
	}
	for _, diff := range ctl.Differences(d, r.Current.Document) {
		printf(cmd.ErrWriter, "%s: this edit has %s, version %d has %s\n",
			diff.Path, orNothing(diff.Submitted), r.Current.Version, orNothing(diff.Existing))
	}
	return exitErrorf(exitConflict, "the edit is based on version %d, but version %d by edit %s came first",
		e.Base, r.Current.Version, r.Current.EditID)
}

func orNothing(text string) string {
	if text == "" {
		return "nothing"
	}
	return text
}

func waitActive(ctx context.Context, cmd *cli.Command, c *ctl.Client, id state.ServiceID, v state.DocumentVersion) error {
	lagging := c.WaitActive(ctx, id, v)
	if len(lagging) == 0 {
		printf(cmd.Writer, "%s version %d in force everywhere\n", id, v)
		return nil
	}
	for _, l := range lagging {
		printf(cmd.ErrWriter, "%s\n", l)
	}
	return exitErrorf(exitFailed, "version %d is accepted; %d daemons lag", v, len(lagging))
}
