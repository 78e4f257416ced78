// Command bergamotflow carries packet flows; it is documented by its --help.
package main

import (
	"os"

	"github.com/bergamotgw/bergamotgw/internal/packetcli"
)

func main() {
	os.Exit(packetcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
