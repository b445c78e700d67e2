package sidecar_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

// configurationTime is the time within which a configuration must be in force.
const configurationTime = 2 * time.Second

// hourBehind is a clock whose time of day is an hour behind.
type hourBehind struct{ clock.System }

// Now implements sidecar.Clock.
func (c hourBehind) Now() time.Time { return c.System.Now().Add(-time.Hour) }

var _ = Describe("the store", func() {
	watching := func(hosts []*host) (watching, others []*host) {
		for _, h := range hosts {
			if h.sidecar.Watches() {
				watching = append(watching, h)
			} else {
				others = append(others, h)
			}
		}
		return watching, others
	}

	It("is watched by a fixed number of nodes, and by others when those fail", func() {
		f := newTestFleet()
		f.publish(1)
		for range 12 {
			f.add()
		}
		count := func() int {
			some, _ := watching(f.hosts)
			return len(some)
		}
		Eventually(count).Should(Equal(8))
		for _, h := range f.hosts {
			Eventually(h.revision).Should(Equal("1"))
		}
		some, others := watching(f.hosts)
		f.publish(2)
		for _, h := range others {
			Eventually(h.revision).Should(Equal("2"))
		}
		for _, h := range some {
			h.sidecar.Kill()
		}
		f.publish(3)
		for _, h := range others {
			Eventually(h.revision).Should(Equal("3"))
		}
	})

	It("is watched by a node that has just lost all others", func() {
		// Guards against a configuration that the only node left learns of too late.
		f, a, b := twoHosts()
		Eventually(a.sidecar.Settled).Should(BeTrue())
		b.sidecar.Kill()
		Eventually(a.sidecar.Nodes).Should(Equal(1))
		// A watch from before the loss has ended by then.
		Consistently(a.sidecar.Watches, "1500ms").Should(BeTrue())
		f.publish(2)
		Eventually(a.revision, configurationTime).Should(Equal("2"))
	})

	It("gets other watchers soon after all have been lost", func() {
		// Guards against a fleet that notices the loss of its watchers too late.
		f := newTestFleet()
		f.publish(1)
		const nodes = 24
		for range nodes {
			f.add()
		}
		count := func() int {
			some, _ := watching(f.hosts)
			return len(some)
		}
		for _, h := range f.hosts {
			Eventually(h.sidecar.Nodes).Should(Equal(nodes))
			Eventually(h.sidecar.Settled).Should(BeTrue())
		}
		Eventually(count).Should(Equal(8))
		some, others := watching(f.hosts)
		hearAllOften := func() int {
			nodes := 0
			for _, h := range others {
				often := true
				for _, watcher := range some {
					often = often && 2*h.sidecar.AnnouncedInterval(watcher.name) <= fleet.SilenceTimeout
				}
				if often {
					nodes++
				}
			}
			return nodes
		}
		Eventually(hearAllOften).Should(BeNumerically(">=", 8))
		for _, h := range some {
			h.sidecar.Kill()
		}
		f.publish(2)
		Eventually(others[0].revision, configurationTime).Should(Equal("2"))
	})

	It("keeps the entry of a restarted node", func() {
		f, a, b := twoHosts()
		for _, h := range f.hosts {
			Eventually(h.sidecar.Registered).Should(BeTrue())
		}
		_, writes, _ := f.store.Calls()
		b.sidecar.Kill()
		b.start()
		b.sendHeartbeat("ready")
		Eventually(b.sidecar.Ready).Should(BeTrue())
		f.waitUntilServedBy(b, "i-stock-1")
		f.waitUntilAvailable(a, b)
		Eventually(b.sidecar.Registered).Should(BeTrue())
		_, after, _ := f.store.Calls()
		Expect(after).To(Equal(writes))
	})

	It("gives a restarted node a higher incarnation even if its clock was set back", func() {
		f, a, b := twoHosts()
		b.sidecar.Kill()
		Eventually(func() bool { return a.sidecar.UpstreamAvailable(b.name) }).Should(BeFalse())
		b.start(sidecar.WithClock(hourBehind{}))
		b.sendHeartbeat("ready")
		f.waitUntilAvailable(a, b)
	})

	DescribeTable("serves a large configuration instead of the nodes, whose links may be slow, if it answers reads",
		func(faulty func(*platform.Client) sidecar.Store, source string) {
			f := newTestFleet()
			f.publish(1)
			a := f.add()
			logs := &syncBuffer{w: &bytes.Buffer{}}
			store := faulty(platform.NewClient(strings.TrimPrefix(f.server.URL, "http://")))
			b := f.add(sidecar.WithStore(store), sidecar.WithLogger(log.NewJSONLogger(logs)))
			Eventually(a.revision).Should(Equal("1"))
			Eventually(b.revision).Should(Equal("1"))
			f.publishLarge(5)
			Eventually(b.revision).Should(Equal("5"))
			Eventually(logs.text).Should(MatchRegexp(`"event":"configuration","host":"stock-2","level":"info","revision":5,"source":"` + source + `"`))
		},
		Entry("reads succeed", func(c *platform.Client) sidecar.Store { return &unwatchableStore{Client: c} }, "store"),
		Entry("reads fail", func(c *platform.Client) sidecar.Store { return &unreadableStore{unwatchableStore{Client: c}} }, "stock-1"),
	)
})

var _ = Describe("a configuration that is fetched from a node that is cut off", func() {
	DescribeTable("comes from another node in time", func(beforeTheCut string) {
		// Guards against nodes that are late with a configuration, as they wait for one node while
		// others have it.
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		store := &unreadableStore{unwatchableStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://"))}}
		late := f.add(sidecar.WithStore(store))
		Eventually(late.revision).Should(Equal("1"))
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		go func() {
			for {
				conn, err := silent.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					_, _ = io.WriteString(conn, beforeTheCut)
					_, _ = io.Copy(io.Discard, conn)
				}()
			}
		}()
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		cutOff := fleet.Beacon{
			Host: "cut-off", Incarnation: 1, Sequence: 1, CallAddress: silent.Addr().String(), GossipAddress: socket.LocalAddr().String(),
			FailureDomain: "z1", Revision: 5, Interval: time.Minute,
		}
		data, err := cutOff.Encode()
		Expect(err).NotTo(HaveOccurred())
		target, err := net.ResolveUDPAddr("udp", late.conf.GossipAddress())
		Expect(err).NotTo(HaveOccurred())
		_, err = socket.WriteToUDP(data, target)
		Expect(err).NotTo(HaveOccurred())
		// The first fetch, of a limited size, is over.
		time.Sleep(600 * time.Millisecond)
		f.publish(5)
		Eventually(a.revision).Should(Equal("5"))
		Eventually(late.revision, configurationTime).Should(Equal("5"))
	},
		Entry("if no response came before the cut", ""),
		Entry("if a part of the response came before the cut", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
	)
})

// unreadableStore is a store whose watches and reads of a key fail.
type unreadableStore struct {
	unwatchableStore
}

func (s *unreadableStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.NewError("get", platform.KindUnavailable, "", nil)
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	w  *bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.w.Write(data)
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.w.String()
}

// publishLarge publishes a configuration of many routes.
func (f *testFleet) publishLarge(version int) {
	text := fmt.Sprintf(configuration, version)
	const one = `{"type_url":"routes","metadata":{"name":"extra-%d"},"spec":{"host":"x","prefix":"/extra-%d/","type":"safe","timeout_ms":20000,"goal_ms":10000,"priority":2,"attempts":2,"service":"stock"}},`
	var extra strings.Builder
	for i := range 1700 {
		_, _ = fmt.Fprintf(&extra, one, i, i)
	}
	f.store.Store("op/config", []byte(strings.Replace(text, `"resources":[`, `"resources":[`+extra.String(), 1)))
}
