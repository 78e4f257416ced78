package labcli

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/lab/capacity"
)

// capacityOctet is the second octet of the loopback addresses of the nodes.
const capacityOctet = 140

type capacityCommand struct {
	Nodes []int  `default:"25,50,100,200" help:"Numbers of nodes for which the spread of changes is measured."`
	Plots string `type:"path" help:"Directory for the plots, as SVG files; none are written by default."`
}

// Run measures all costs, prints a table, and writes the plots if a directory is given.
func (c *capacityCommand) Run(ctx context.Context, stdout io.Writer) error {
	slopes := append(capacity.State(), capacity.Routing()...)
	spread, err := capacity.Spread(ctx, c.Nodes, capacityOctet)
	if err != nil {
		return err
	}
	slopes = append(slopes, spread...)
	if err := capacity.WriteTable(stdout, slopes); err != nil {
		return err
	}
	if c.Plots == "" {
		return nil
	}
	for _, s := range slopes {
		if err := writePlot(filepath.Join(c.Plots, s.Name+".svg"), s); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(path string, s capacity.Slope) error {
	f, err := os.Create(path)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return s.WritePlot(f)
}
