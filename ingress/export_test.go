package ingress

// SetMeanSize sets the mean length of a route's responses, in bytes.
func (in *Ingress) SetMeanSize(route string, bytes int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.meanSizes[route] = bytes
}
