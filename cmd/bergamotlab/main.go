// Command bergamotlab is documented by its --help.
package main

import (
	"os"

	"github.com/bergamotgw/bergamotgw/internal/labcli"
)

func main() {
	os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
