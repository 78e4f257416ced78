// Package checkcommand is the part of the command check that both programs share: the comparison
// of a configuration with the one in force.
package checkcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/finding"
)

// Exit codes of a comparison.
const (
	exitErrors = 1
	exitUsage  = 2
)

// Flags are the flags of a comparison.
type Flags struct {
	Against string `type:"path" placeholder:"FORCE" help:"Configuration in force: report errors, warnings and differences from it."`
	JSON    bool   `help:"Write the findings as JSON; only with --against."`
}

// codedError is an error with an exit code.
type codedError struct {
	error
	code int
}

// ExitCode returns the exit code of the program.
func (e codedError) ExitCode() int { return e.code }

// Unwrap returns the error without its code.
func (e codedError) Unwrap() error { return e.error }

// Usage returns an error of wrong usage.
func Usage(format string, args ...any) error {
	return codedError{merry.Errorf(format, args...), exitUsage}
}

// ParseCode returns the exit code of a program whose arguments cannot be parsed, and code if
// they name no comparison.
func ParseCode(args []string, code int) int {
	if slices.ContainsFunc(args, func(a string) bool { return a == "--against" || strings.HasPrefix(a, "--against=") }) {
		return exitUsage
	}
	return code
}

// result is the JSON output.
type result struct {
	File     string       `json:"file"`
	Against  string       `json:"against"`
	Errors   int          `json:"errors"`
	Findings finding.List `json:"findings"`
}

// Run compares a file with the one in force and writes the findings. It fails with code 1 if
// there are errors, and with code 2 if a file cannot be read.
func (f Flags) Run(stdout io.Writer, path string, compare func(force, next []byte) finding.List) error {
	force, err := os.ReadFile(f.Against)
	if err != nil {
		return Usage("%w", err)
	}
	next, err := os.ReadFile(path)
	if err != nil {
		return Usage("%w", err)
	}
	list := compare(force, next)
	if err := f.write(stdout, path, list); err != nil {
		return merry.Prepend(err, "write findings")
	}
	if n := list.Errors(); n > 0 {
		return codedError{merry.Errorf("%d errors", n), exitErrors}
	}
	return nil
}

func (f Flags) write(stdout io.Writer, path string, list finding.List) error {
	if f.JSON {
		e := json.NewEncoder(stdout)
		e.SetIndent("", "  ")
		return e.Encode(result{File: path, Against: f.Against, Errors: list.Errors(), Findings: append(finding.List{}, list...)})
	}
	for _, x := range list {
		if _, err := fmt.Fprintf(stdout, "%s: %s\n", path, x); err != nil {
			return err
		}
	}
	if len(list) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(stdout, "%s: no findings\n", path)
	return err
}
