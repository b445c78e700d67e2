package ingress

// SetSize sets how long the answers of a route usually are, in bytes.
func (in *Ingress) SetSize(route string, bytes int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sizes[route] = bytes
}
