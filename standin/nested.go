package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// nestedTimeout is the timeout of a nested call.
const nestedTimeout = 500 * time.Millisecond

// nestedCalls holds the calls that each run of a Backend makes to other upstreams.
type nestedCalls struct {
	// count is the number of calls per run.
	count int
	// address is that of the node that takes the calls.
	address string
	// made is the number of calls made so far.
	made int
}

// SetNestedCalls sets the number of calls that each run makes on the route NestedPath,
// and the address of the node that takes them.
func (b *Backend) SetNestedCalls(count int, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nested.count, b.nested.address = count, address
}

// NestedParent returns the ID of the request whose run made the call with an ID, and the
// instance that ran it. ok is false for a request of a caller.
func NestedParent(id string) (parent, instance string, ok bool) {
	parent, suffix, ok := strings.Cut(id, ".")
	instance, _, _ = strings.Cut(suffix, "_")
	return parent, instance, ok
}

// callOthers makes the nested calls of a run concurrently, and returns the fault of the
// run if one of them fails.
func (b *Backend) callOthers(ctx context.Context, id string) Fault {
	b.mu.Lock()
	calls := b.nested
	b.nested.made += calls.count
	b.mu.Unlock()
	results := make(chan bool, calls.count)
	for i := range calls.count {
		go func() {
			results <- nestedCall(ctx, calls.address, fmt.Sprintf("%s.%s_%d", id, b.instance, calls.made+i))
		}()
	}
	fault := Fault("")
	for range calls.count {
		if !<-results {
			fault = FaultError
		}
	}
	return fault
}

// nestedCall makes one call and reports whether it succeeded.
func nestedCall(ctx context.Context, address, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, nestedTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+NestedPath+"1", nil)
	if err != nil {
		return false
	}
	request.Host = "x"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Timeout-Ms", fmt.Sprint(nestedTimeout.Milliseconds()))
	// The node may be killed, so that an idle connection cannot be relied on.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
