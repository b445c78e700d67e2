package organisation

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// keyHash is the start of a key's SHA-256, long enough that no two keys share it.
type keyHash [16]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:len(keyHash{})])
}

// Directory finds organisations by key and by name; it is immutable. A nil Directory is
// empty.
type Directory struct {
	byKey  map[keyHash]*Organisation
	byName map[string]*Organisation
}

// NewDirectory returns the Directory of the organisations. It fails if two have the same
// name or key. The organisations forget their keys.
func NewDirectory(organisations []*Organisation) (*Directory, error) {
	d := &Directory{byKey: map[keyHash]*Organisation{}, byName: map[string]*Organisation{}}
	for _, o := range organisations {
		if d.byName[o.name] != nil {
			return nil, newError("index", KindDuplicate, "two organisations have the name %q", o.name)
		}
		d.byName[o.name] = o
		for _, key := range o.keys {
			hash := hashKey(key)
			if other := d.byKey[hash]; other != nil && other != o {
				return nil, newError("index", KindDuplicate, "%q has a key of %q", o.name, other.name)
			}
			d.byKey[hash] = o
		}
		o.keys = nil
	}
	return d, nil
}

// Lookup returns the organisation that has a key.
func (d *Directory) Lookup(key string) (*Organisation, bool) {
	if d == nil {
		return nil, false
	}
	o, ok := d.byKey[hashKey(key)]
	return o, ok
}

// Named returns the organisation with a name.
func (d *Directory) Named(name string) (*Organisation, bool) {
	if d == nil {
		return nil, false
	}
	o, ok := d.byName[name]
	return o, ok
}

// Len returns the number of organisations.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Names returns the names of the organisations, sorted.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(d.byName))
}
