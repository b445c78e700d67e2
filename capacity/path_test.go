package capacity_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/banyancross/banyancross/deployment"
)

// BenchmarkPath sends calls through two nodes to a server that does no work;
// BenchmarkDirect sends them to that server directly.
func BenchmarkPath(b *testing.B) {
	fleet, proxied := twoNodes(b)
	defer fleet.Close()
	benchmark(b, proxied)
}

// BenchmarkDirect is the baseline of BenchmarkPath.
func BenchmarkDirect(b *testing.B) {
	fleet, _ := twoNodes(b)
	defer fleet.Close()
	benchmark(b, "http://"+fleet.Members[1].Upstream.Address()+"/")
}

// twoNodes starts two nodes and drains the upstream of the first, so that calls
// to that node go through both.
func twoNodes(b *testing.B) (fleet *deployment.Deployment, proxied string) {
	shape := deployment.Paguyuban()
	shape.LinkDelay, shape.ServiceTime = 0, 0
	shape.Services = []deployment.Service{{Name: "etalase", Upstreams: 2}}
	fleet, err := deployment.Start(context.Background(), shape)
	if err != nil {
		b.Fatal(err)
	}
	fleet.Members[0].Upstream.SetState("draining")
	err = fleet.Wait(context.Background(), func() bool { return len(fleet.Members[0].Node.Targets("etalase")) == 1 })
	if err != nil {
		b.Fatal(err)
	}
	return fleet, "http://" + fleet.Members[0].Settings.CallerAddress() + "/etalase/"
}

func benchmark(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := client.Get(address)
			if err != nil {
				b.Error(err)
				return
			}
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d, %s", response.StatusCode, response.Header.Get("Banyancross-Reason"))
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.StopTimer()
}
