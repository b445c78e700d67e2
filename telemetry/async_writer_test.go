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

// counts returns how many lines were written, and how many of all and of those with priority
// are reported as dropped, which may be in several parts.
func (w *blockedWriter) counts() (written, dropped, priority int) {
	GinkgoHelper()
	for line := range strings.Lines(w.text()) {
		var warning struct {
			Event           string
			Count, Priority int
		}
		if json.Unmarshal([]byte(line), &warning) != nil {
			written++
			continue
		}
		Expect(warning.Event).To(Equal("lines-dropped"))
		dropped, priority = dropped+warning.Count, priority+warning.Priority
	}
	return written, dropped, priority
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
		written, dropped, priority := blocked.counts()
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(priority).To(BeZero())
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
		_, dropped, priority := blocked.counts()
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(priority).To(BeZero())
	})

	It("writes how many lines of promises it dropped", func() {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		output := telemetry.NewAsyncWriter(blocked)
		const promises = 20000
		for i := range promises {
			_, _ = fmt.Fprintln(output.Priority(), "promise", i)
		}
		close(blocked.unblock)
		Eventually(output.Dropped).Should(BeZero())
		output.Close()
		written, dropped, priority := blocked.counts()
		Expect(priority).To(BeNumerically(">", 0))
		Expect(dropped).To(Equal(priority))
		Expect(written + priority).To(Equal(promises))
	})
})
