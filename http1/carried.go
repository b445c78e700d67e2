package http1

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs bounds the IDs that are kept of a connection, and so the requests with an
// ID that it carries.
const maxCarriedIDs = 1024

// carriedIDs holds the hashes of the IDs of the requests that a connection has carried.
type carriedIDs struct {
	hashes []uint64
}

func (c *carriedIDs) add(id string) {
	if id != "" {
		c.hashes = append(c.hashes, xxhash.Sum64String(id))
	}
}

// contains reports whether a request with the ID may have been carried.
func (c *carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(c.hashes, xxhash.Sum64String(id))
}

func (c *carriedIDs) full() bool { return len(c.hashes) >= maxCarriedIDs }
