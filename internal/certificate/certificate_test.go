package certificate

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
)

// TestLoad checks that a valid certificate replaces the former one, and that an invalid file
// does not.
func TestLoad(t *testing.T) {
	plan := fleet.Plan{Dir: t.TempDir(), Octet: 1, Services: []fleet.Service{{Name: "pass"}}}
	certificate, key := filepath.Join(plan.Dir, "pass.pem"), filepath.Join(plan.Dir, "pass.key")
	var s Source
	var served [][]byte
	load := func(wantError bool) {
		t.Helper()
		if err := s.Load(certificate, key); (err != nil) != wantError {
			t.Fatalf("error %v, want one: %t", err, wantError)
		}
		c, err := s.TLS().GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		served = append(served, c.Certificate[0])
	}
	for range 2 {
		if err := plan.Write(); err != nil {
			t.Fatal(err)
		}
		load(false)
	}
	if err := os.WriteFile(certificate, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	load(true)
	if bytes.Equal(served[0], served[1]) {
		t.Error("the certificate was not replaced")
	}
	if !bytes.Equal(served[1], served[2]) {
		t.Error("a broken file replaced the certificate")
	}
}
