// Package organisation identifies the organisations whose callers share a fleet.
//
// An organisation has API keys, which its callers send with their requests, and may
// have a priority, a quota and a list of regions of its own:
//
//	shop, err := organisation.New("shop", []string{"k-1", "k-2"}, organisation.WithQuota(organisation.Quota{Rate: 50, Burst: 50}))
//	...
//	directory, err := organisation.NewDirectory([]*organisation.Organisation{shop})
//	...
//	found, ok := directory.Lookup("k-1")
//
// A Directory keeps hashes of the keys only. It is found by hash, so that the time of
// a lookup tells nothing about the keys that exist.
//
// The package reads no files and opens no sockets.
package organisation
