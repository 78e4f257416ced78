// Package logs creates the structured log of a process.
package logs

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/settings"
)

// NewLogger returns a logger that writes JSON lines, or human-readable text if the format is
// console. The level applies to the whole process, so that it can change while the process
// runs.
func NewLogger(w io.Writer, l settings.Log) zerolog.Logger {
	SetLevel(l)
	if l.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000"}
	}
	return zerolog.New(w).With().Timestamp().Logger()
}

// SetLevel sets the log level of the process. An empty or invalid level selects info.
func SetLevel(l settings.Log) {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil || l.Level == "" {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
}
