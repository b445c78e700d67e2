package hop_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
)

func TestDialThatHangsLeavesTimeForAnotherNode(t *testing.T) {
	// Guards against a call that spends its time on nodes that were just cut off.
	g := NewWithT(t)
	client := hop.NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	defer client.Close()
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://x/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	started := time.Now()
	answer := client.Do(ctx, "127.0.0.1:1", hop.Meta{ID: "a"}, request)
	g.Expect(time.Since(started)).To(BeNumerically("<", timeout/3))
	g.Expect(answer.Meta.Outcome).To(Equal(call.NotRun))
	g.Expect(answer.Meta.Reason).To(Equal(call.ReasonConnection))
}
