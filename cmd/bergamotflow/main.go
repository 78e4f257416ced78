// Command bergamotflow runs the balancers and agents of packet flows; its --help describes it.
package main

import (
	"os"

	"github.com/bergamotgw/bergamotgw/internal/packetcli"
)

func main() {
	os.Exit(packetcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
