package control_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/control"
	"github.com/banyancross/banyancross/membership"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

func echo(_ context.Context, message *control.Message) *control.Message {
	return &control.Message{Kind: message.Kind, Revision: message.Revision}
}

var _ = Describe("peers", func() {
	It("match each reply to its request, over one connection", func() {
		server := control.NewPeers(echo, nil)
		listener := httptest.NewServer(server)
		var dials atomic.Int64
		client := control.NewPeers(echo, func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		})
		defer listener.Close()
		defer server.Close()
		defer client.Close()
		var group sync.WaitGroup
		for i := range uint64(100) {
			group.Add(1)
			go func() {
				defer GinkgoRecover()
				defer group.Done()
				reply, err := client.Request(context.Background(), listener.Listener.Addr().String(),
					control.Message{Kind: control.Ping, Revision: i})
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Revision).To(Equal(i))
			}()
		}
		group.Wait()
		Expect(dials.Load()).To(Equal(int64(1)))
	})

	It("report a connection error when nothing listens", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		client := control.NewPeers(echo, nil)
		defer client.Close()
		_, err = client.Request(context.Background(), listener.Addr().String(), control.Message{Kind: control.Ping})
		Expect(err.(*control.Error).Kind()).To(Equal(control.KindConnect))
	})

	It("close while they connect and receive", func() {
		// Guards against a node that panics as it stops.
		for range 300 {
			server := control.NewPeers(echo, nil)
			listener := httptest.NewServer(server)
			client := control.NewPeers(echo, nil)
			sent := make(chan struct{}, 4)
			var group sync.WaitGroup
			for range 4 {
				group.Add(1)
				go func() {
					defer group.Done()
					for range 20 {
						if client.Send(context.Background(), listener.Listener.Addr().String(), control.Message{Kind: control.Ping}) != nil {
							return
						}
						select {
						case sent <- struct{}{}:
						default:
						}
					}
				}()
			}
			<-sent
			server.Close()
			client.Close()
			group.Wait()
			listener.Close()
		}
	})

	It("close while they open a connection", func() {
		// Guards against a node that panics as it stops.
		server := control.NewPeers(echo, nil)
		listener := httptest.NewServer(server)
		defer listener.Close()
		defer server.Close()
		for range 3000 {
			connected := make(chan struct{})
			var once sync.Once
			client := control.NewPeers(echo, func(ctx context.Context, network, address string) (net.Conn, error) {
				defer once.Do(func() { close(connected) })
				return (&net.Dialer{}).DialContext(ctx, network, address)
			})
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = client.Send(context.Background(), listener.Listener.Addr().String(), control.Message{Kind: control.Ping})
			}()
			<-connected
			client.Close()
			<-ended
		}
	})
})

func FuzzDecode(f *testing.F) {
	data, err := control.Encode(&control.Message{Kind: control.Gossip, Members: []membership.Member{{Host: "kasir-1"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = control.Decode(data) })
}
