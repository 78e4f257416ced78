// Command bergamotlab runs simulated systems, experiments and measurements; its --help describes it.
package main

import (
	"os"

	"github.com/bergamotgw/bergamotgw/internal/labcli"
)

func main() {
	os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
