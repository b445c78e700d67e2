package telemetry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

// blockedWriter blocks each Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(data)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.String()
}

var _ = Describe("AsyncWriter", func() {
	It("does not block while the writer does, and writes how many lines it dropped", func() {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		output := telemetry.NewAsyncWriter(blocked)
		const lines = 10000
		for i := range lines {
			_, err := fmt.Fprintf(output, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(output.Dropped()).To(BeNumerically(">", 0))
		close(blocked.unblock)
		Eventually(output.Dropped).Should(BeZero())
		output.Close()
		// The dropped lines may be reported in several parts.
		written, dropped := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(blocked.text()), "\n") {
			var warning struct {
				Event string
				Count int
			}
			if json.Unmarshal([]byte(line), &warning) != nil {
				written++
				continue
			}
			Expect(warning.Event).To(Equal("lines-dropped"))
			dropped += warning.Count
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(written + dropped).To(Equal(lines))
	})

	It("keeps the lines of promises while the writer blocks and others are dropped", func() {
		// Guards against a request that was refused, and ran, and left no line.
		blocked := &blockedWriter{unblock: make(chan struct{})}
		output := telemetry.NewAsyncWriter(blocked)
		const promises = 3000
		for i := range 10 * promises {
			if i%10 == 0 {
				_, _ = fmt.Fprintln(output.Priority(), "promise", i)
			}
			_, _ = fmt.Fprintln(output, "other", i)
		}
		close(blocked.unblock)
		Eventually(output.Dropped).Should(BeZero())
		output.Close()
		Expect(strings.Count(blocked.text(), "promise")).To(Equal(promises))
		Expect(blocked.text()).To(ContainSubstring(`"priority":0}`))
	})

	It("writes how many lines of promises it dropped", func() {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		output := telemetry.NewAsyncWriter(blocked)
		const promises = 20000
		for i := range promises {
			_, _ = fmt.Fprintln(output.Priority(), "promise", i)
		}
		dropped := output.Dropped()
		close(blocked.unblock)
		Eventually(output.Dropped).Should(BeZero())
		output.Close()
		Expect(blocked.text()).To(ContainSubstring(fmt.Sprintf(`"priority":%d}`, dropped)))
		Expect(strings.Count(blocked.text(), "promise")).To(BeEquivalentTo(promises - dropped))
	})
})
