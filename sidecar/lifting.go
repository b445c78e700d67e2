package sidecar

import (
	"context"
	"fmt"
	"slices"

	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
)

// liftAttempts bounds the writes of one lifting while nodes write, too.
const liftAttempts = 5

// CrashStore is the part of the platform's store that holds the crash counts.
type CrashStore interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, previous platform.Entry) error
}

// FormatFingerprint returns the form of a request's fingerprint in logs and commands.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// ReadCrashes returns the stored crash counts; its errors are those of the store and of
// counts that cannot be read.
func ReadCrashes(ctx context.Context, store CrashStore) (quarantine.Snapshot, error) {
	snapshot, _, err := readCrashes(ctx, store)
	return snapshot, err
}

func readCrashes(ctx context.Context, store CrashStore) (quarantine.Snapshot, platform.Entry, error) {
	entry, err := store.Get(ctx, crashesKey)
	if err != nil || entry.Version() == 0 {
		return quarantine.Snapshot{}, entry, err
	}
	snapshot, err := decodeCrashes(entry)
	return snapshot, entry, err
}

func decodeCrashes(entry platform.Entry) (quarantine.Snapshot, error) {
	var snapshot quarantine.Snapshot
	if err := codec.Unmarshal(entry.Value(), &snapshot); err != nil {
		return quarantine.Snapshot{}, &Error{op: "read crash counts", kind: KindMalformed, err: err}
	}
	return snapshot, nil
}

// RemoveCrashes removes the stored crash counts of a request, so that all nodes clear it
// when they next read the fleet's entries, and reports whether there were any.
func RemoveCrashes(ctx context.Context, store CrashStore, fingerprint uint64) (bool, error) {
	var conflict error
	for range liftAttempts {
		snapshot, entry, err := readCrashes(ctx, store)
		if err != nil {
			return false, err
		}
		stored := len(snapshot.Requests)
		snapshot.Requests = slices.DeleteFunc(snapshot.Requests, func(r quarantine.Record) bool { return r.Fingerprint == fingerprint })
		if len(snapshot.Requests) == stored {
			return false, nil
		}
		value, err := codec.Marshal(snapshot)
		if err != nil {
			return false, &Error{op: "write crash counts", kind: KindMalformed, err: err}
		}
		if conflict = store.Put(ctx, crashesKey, value, entry); platform.KindOf(conflict) != platform.KindConflict {
			return conflict == nil, conflict
		}
	}
	return false, conflict
}
