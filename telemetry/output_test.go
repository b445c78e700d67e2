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

// pipe blocks its writer until it is opened.
type pipe struct {
	open   chan struct{}
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (p *pipe) Write(data []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffer.Write(data)
}

func (p *pipe) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffer.String()
}

var _ = Describe("the output of log lines", func() {
	It("never waits for a reader, and says how many lines it dropped", func() {
		p := &pipe{open: make(chan struct{})}
		output := telemetry.NewAsyncWriter(p)
		const lines = 10000
		for i := range lines {
			_, err := fmt.Fprintf(output, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(output.Dropped()).To(BeNumerically(">", 0))
		close(p.open)
		Eventually(output.Dropped).Should(BeZero())
		output.Close()
		// The count may be written in several parts.
		written, dropped := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(p.text()), "\n") {
			var notice struct {
				Event string
				Count int
			}
			if json.Unmarshal([]byte(line), &notice) != nil {
				written++
				continue
			}
			Expect(notice.Event).To(Equal("lines-dropped"))
			dropped += notice.Count
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(written + dropped).To(Equal(lines))
	})
})
