package checkcommand_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/cli"
	"github.com/bergamotgw/bergamotgw/internal/packetcli"
)

// TestExitCodes guards against scripts that send a configuration with errors because the check
// exits with the wrong code. file NAME writes the input; bergamotgw and bergamotflow run the
// program, without the usage that follows wrong arguments; @ stands for the directory.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir() + "/"
	programs := map[string]func(args []string, stdout, stderr io.Writer) int{"bergamotgw": cli.Main, "bergamotflow": packetcli.Main}
	datadriven.RunTest(t, "testdata/exitCodes.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "file" {
			if err := os.WriteFile(dir+d.CmdArgs[0].Key, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			return ""
		}
		var stdout, stderr bytes.Buffer
		code := programs[d.Cmd](strings.Fields(strings.ReplaceAll(d.Input, "@", dir)), &stdout, &stderr)
		out := stdout.String()
		if strings.HasPrefix(out, "Usage") {
			out = ""
		}
		return strings.ReplaceAll(fmt.Sprintf("%s%sexit code %d", out, stderr.String(), code), dir, "")
	})
}
