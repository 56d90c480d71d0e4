// Command hibiscusctl is the operators' command-line tool.
//
// It exits with 0 on success, 1 on failure, on an unknown outcome or if a version is
// not active at all daemons in time, 2 on bad input and 3 on an edit conflict.
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
		Usage:     "manage hibiscuswick and its service documents",
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
		// The exit code is taken from the returned error below.
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
	// Any other error is a mistake in the command line itself.
	return exitBadInput
}

// exitError is an error with an exit code. It does not implement cli.ExitCoder, since
// the library uses exit codes of its own for those, including 3.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
