package packetcli

import (
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/explain"
)

type explainCommand struct {
	ID   string   `arg:"" help:"Flow, as CALLER:PORT>ADDRESS:PORT, or the ID of a request."`
	Logs []string `arg:"" optional:"" type:"existingfile" help:"Logs of balancers and agents; standard input if none is given."`
	JSON bool     `help:"Write JSON."`
}

// Run prints the history of a flow or request. Its last line is the cause.
func (c *explainCommand) Run(stdout io.Writer) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	history := explain.NewHistory(lines, c.ID)
	if c.JSON {
		return history.WriteJSON(stdout)
	}
	return history.Write(stdout)
}

func (c *explainCommand) read() ([]explain.Line, error) {
	if len(c.Logs) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	for _, name := range c.Logs {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f)
}
