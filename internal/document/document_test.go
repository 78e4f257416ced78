package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/schema"
	"github.com/bergamotgw/bergamotgw/internal/section"
)

// TestCheck prints the faults of each document, and the entries that would be published.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check.txt", func(_ *testing.T, d *datadriven.TestData) string {
		entries, faults := Parse([]byte(d.Input))
		var out strings.Builder
		for _, f := range faults {
			_, _ = fmt.Fprintln(&out, f)
		}
		for _, e := range entries {
			_, _ = fmt.Fprintf(&out, "good: %s revision %d\n", e.Key, e.Revision)
		}
		return out.String()
	})
}

// TestSchemaNamesEveryField checks that the schema has exactly the fields of the Go types.
func TestSchemaNamesEveryField(t *testing.T) {
	var s struct {
		Defs map[string]struct {
			Properties map[string]json.RawMessage `json:"properties"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal([]byte(schema.Document), &s); err != nil {
		t.Fatal(err)
	}
	for name, typ := range map[string]reflect.Type{
		"section":  reflect.TypeFor[section.Section](),
		"endpoint": reflect.TypeFor[section.Endpoint](),
		"limits":   reflect.TypeFor[section.Limits](),
	} {
		fields := lo.Times(typ.NumField(), func(i int) string {
			tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			return tag
		})
		listed := lo.Keys(s.Defs[name].Properties)
		slices.Sort(fields)
		slices.Sort(listed)
		if !slices.Equal(fields, listed) {
			t.Errorf("schema of %s has %v, the type has %v", name, listed, fields)
		}
	}
}
