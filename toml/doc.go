// Package toml decodes TOML documents strictly and finds the line of a key, so
// that a refused value can be reported with its place.
package toml
