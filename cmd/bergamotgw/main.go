// Command bergamotgw runs the balancers, agents and on-ramps of QUIC flows; its --help describes it.
package main

import (
	"os"

	"github.com/bergamotgw/bergamotgw/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
