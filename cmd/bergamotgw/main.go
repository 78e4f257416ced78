// Command bergamotgw is documented by its --help.
package main

import (
	"os"

	"github.com/bergamotgw/bergamotgw/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
