// Command hibiscusctl is the operators' command line.
//
// Its exit codes are 0 for done, 1 for failed, not known or not everywhere in
// time, 2 for bad input and 3 for an edit that lost against another.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:      "hibiscusctl",
		Usage:     "operate hibiscuswick by its service documents",
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			validateCommand(),
			applyCommand(),
			getCommand(),
			watchCommand(),
			statusCommand(),
			drainCommand(),
			replayCommand(),
			explainCommand(),
			inspectCommand(),
			measureCommand(),
		},
		// The code comes from the error, below.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(errOut, "hibiscusctl:", text)
	}
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	// What is left are mistakes in the command line itself.
	return exitBadInput
}

// exitError ends the program with a code. It is not a cli.ExitCoder, since the
// library gives codes of its own to those, 3 among them.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string {
	return e.text
}

func fail(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
