// Package toml decodes TOML documents, rejects unknown keys, and finds the line
// of a key, so that an error about its value can include the position.
package toml
