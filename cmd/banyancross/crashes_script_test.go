package main

import (
	"context"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

// blockedCommand waits until a request is stored as blocked, and sets the variable
// FINGERPRINT to it.
func blockedCommand(ts *testscript.TestScript, _ bool, _ []string) {
	client := platform.NewClient(ts.Getenv("STORE"))
	waitFor(ts, "a blocked request", func() bool {
		snapshot, err := sidecar.ReadCrashes(context.Background(), client)
		for _, record := range snapshot.Requests {
			if record.Blocked() {
				ts.Setenv("FINGERPRINT", sidecar.FormatFingerprint(record.Fingerprint))
				return err == nil
			}
		}
		return false
	})
}
