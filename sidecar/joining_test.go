package sidecar_test

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

// anchorEntries is the number of entries that a failure domain keeps in the store.
const anchorEntries = 3

var _ = Describe("joining a fleet", func() {
	entries := func(f *testFleet) []string { return f.store.Keys("banyancross/nodes/") }

	It("needs few entries in the store, however many nodes start at once", func() {
		f := newTestFleet()
		f.firstStart = true
		f.publish(1)
		const nodes = 24
		for range nodes {
			f.add()
		}
		for _, h := range f.hosts {
			Eventually(h.revision).Should(Equal("1"))
			Eventually(h.sidecar.Nodes).Should(Equal(nodes))
		}
		Eventually(func() int { return len(entries(f)) }).Should(BeNumerically(">=", anchorEntries))
		Consistently(func() int { return len(entries(f)) }, "500ms").Should(BeNumerically("<=", 2*anchorEntries))
		_, writes, _ := f.store.Calls()
		// Each entry takes a lease and a write. Two nodes may register before they see
		// each other.
		Expect(writes).To(BeNumerically("<=", 2*2*anchorEntries))
	})

	It("registers others when the registered nodes are gone", func() {
		f := newTestFleet()
		f.publish(1)
		for range 8 {
			f.add()
		}
		for _, h := range f.hosts {
			Eventually(h.sidecar.Nodes).Should(Equal(8))
		}
		registered := func(h *host) bool { return h.sidecar.Registered() }
		var gone []*host
		for _, h := range f.hosts {
			Eventually(h.sidecar.Settled).Should(BeTrue())
			if registered(h) && len(gone) < anchorEntries {
				gone = append(gone, h)
			}
		}
		for _, h := range gone {
			h.sidecar.Kill()
		}
		Eventually(func() int {
			alive := 0
			for _, h := range f.hosts {
				if registered(h) && f.store.Value("banyancross/nodes/"+h.name) != nil {
					alive++
				}
			}
			for _, h := range gone {
				if registered(h) {
					alive--
				}
			}
			return alive
		}).Should(BeNumerically(">=", anchorEntries))
		newcomer := f.add()
		newcomer.sendHeartbeat("ready")
		for _, h := range f.hosts[:8] {
			if !contains(gone, h) {
				f.waitUntilAvailable(h, newcomer)
			}
		}
	})

	It("reads the configuration from the store when no registered node answers", func() {
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		Eventually(func() int { return len(entries(f)) }).Should(Equal(1))
		a.sidecar.Kill()
		b := f.add()
		Eventually(b.revision, "3s").Should(Equal("1"))
		Eventually(func() []string { return entries(f) }).Should(ContainElement("banyancross/nodes/" + b.name))
	})

	It("raises the incarnation of a node that has no entry and whose clock was set back", func() {
		f := newTestFleet()
		f.publish(1)
		for range 8 {
			f.add()
		}
		for _, h := range f.hosts {
			Eventually(h.sidecar.Nodes).Should(Equal(8))
			Eventually(h.sidecar.Settled).Should(BeTrue())
		}
		f.store.EndLeases()
		var unregistered *host
		// All nodes register if none of them hears another one in time. Those that are no
		// anchors cease to at their next update.
		Eventually(func() *host {
			for _, h := range f.hosts {
				if !h.sidecar.Registered() {
					unregistered = h
				}
			}
			return unregistered
		}).ShouldNot(BeNil())
		other := f.hosts[0]
		if other == unregistered {
			other = f.hosts[1]
		}
		unregistered.sendHeartbeat("ready")
		f.waitUntilAvailable(other, unregistered)
		unregistered.sidecar.Kill()
		Eventually(func() bool { return other.sidecar.UpstreamAvailable(unregistered.name) }).Should(BeFalse())
		unregistered.start(sidecar.WithClock(hourBehind{}))
		unregistered.sendHeartbeat("ready")
		f.waitUntilAvailable(other, unregistered)
	})

	It("leaves the incarnation of a node alone that others know by its latest beacon", func() {
		f := newTestFleet()
		f.publish(1)
		a, b := f.add(), f.add()
		before := []int64{a.sidecar.Incarnation(), b.sidecar.Incarnation()}
		Eventually(a.sidecar.Settled).Should(BeTrue())
		Eventually(b.sidecar.Settled).Should(BeTrue())
		Expect([]int64{a.sidecar.Incarnation(), b.sidecar.Incarnation()}).To(Equal(before))
	})

	DescribeTable("goes on with the sound entries beside an odd one", func(change func(*fleet.Beacon)) {
		// Guards against an entry of another writer that ends the nodes which read it, or makes them
		// lose the node that it names.
		f := newTestFleet()
		f.publish(1)
		b := fleet.Beacon{
			Host: "stock-1", Incarnation: 1, Sequence: 1, CallAddress: "127.0.0.1:9", GossipAddress: "127.0.0.1:9",
			FailureDomain: "z1", Service: "stock", Upstream: "i-odd", Phase: fleet.Ready,
		}
		change(&b)
		value, err := b.Encode()
		Expect(err).NotTo(HaveOccurred())
		f.store.Store("banyancross/nodes/stock-1", value)
		f.store.Store("banyancross/nodes/odd", value)
		f.store.Store("banyancross/nodes/nested", bytes.Repeat([]byte{0x81}, 20_000))
		f.store.Store("banyancross/findings/stock", bytes.Repeat([]byte("["), 20_000))
		b1, b2 := f.add(), f.add()
		b1.sendHeartbeat("ready")
		b2.sendHeartbeat("ready")
		f.waitUntilAvailable(b1, b2)
		f.waitUntilAvailable(b2, b1)
		Expect(b1.sidecar.Nodes()).To(Equal(2))
		f.publish(2)
		Eventually(b1.revision).Should(Equal("2"))
		Eventually(b2.revision).Should(Equal("2"))
	},
		Entry("the highest incarnation", func(b *fleet.Beacon) { b.Incarnation = math.MaxInt64 }),
		Entry("a later incarnation", func(b *fleet.Beacon) { b.Incarnation = math.MaxInt64 / 2 }),
		Entry("the highest sequence number", func(b *fleet.Beacon) { b.Sequence = math.MaxUint64 }),
		Entry("a port out of range", func(b *fleet.Beacon) { b.GossipAddress = "127.0.0.1:99999" }),
	)

	It("calls a store that does not answer less and less often", func() {
		f := newTestFleet()
		store := &countingStore{listOnlyStore: listOnlyStore{Client: platform.NewClient("127.0.0.1:1")}}
		f.add(sidecar.WithStore(store))
		time.Sleep(4 * time.Second)
		// 0.15, 0.3, 0.6, 1.2 and 2 s between the calls, a quarter less at random.
		Expect(store.reads.Load()).To(BeNumerically("<=", 7))
	})

	It("keeps its entry if a write of it without an answer takes effect after the next", func() {
		// Guards against an entry that ends with a lease which nobody renews.
		f := newTestFleet()
		store := &lateWriteStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://"))}
		f.add(sidecar.WithStore(store))
		Eventually(store.renewed.Load).ShouldNot(BeZero())
		registered, _, err := store.List(context.Background(), "banyancross/nodes/", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(registered).To(HaveLen(1))
		Expect(registered[0].Lease()).To(Equal(store.renewed.Load()))
	})

	It("takes a new lease if that of a write without an answer has ended", func() {
		f := newTestFleet()
		store := &lateWriteStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://")), lost: f.store.EndLeases}
		f.add(sidecar.WithStore(store))
		Eventually(store.renewed.Load).ShouldNot(BeZero())
		Expect(entries(f)).To(HaveLen(1))
	})

	It("works without the store for a node that has read the entries once", func() {
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		a.sendHeartbeat("ready")
		Eventually(func() int { return len(entries(f)) }).Should(Equal(1))
		store := &listOnlyStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://"))}
		b := f.add(sidecar.WithStore(store))
		Eventually(b.revision).Should(Equal("1"))
		f.waitUntilServedBy(b, "i-stock-1")
	})
})

// countingStore is a store that counts range reads and answers none.
type countingStore struct {
	listOnlyStore
	reads atomic.Int64
}

func (s *countingStore) List(context.Context, string, bool) ([]platform.Entry, uint64, error) {
	s.reads.Add(1)
	return nil, 0, errNoAnswer
}

// listOnlyStore is a store that answers nothing but one range read.
type listOnlyStore struct {
	*platform.Client
	listed bool
}

var errNoAnswer = errors.New("no answer")

func (s *listOnlyStore) List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, uint64, error) {
	if s.listed {
		return nil, 0, errNoAnswer
	}
	s.listed = true
	return s.Client.List(ctx, prefix, stale)
}

func (s *listOnlyStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, errNoAnswer
}

func (s *listOnlyStore) WatchOperators(context.Context, platform.Operators, time.Duration) (platform.Operators, error) {
	return platform.Operators{}, errNoAnswer
}

func (s *listOnlyStore) GrantLease(context.Context, time.Duration) (platform.Lease, error) {
	return platform.Lease{}, errNoAnswer
}

// lateWriteStore is a store that does not answer the first write with a lease, and executes
// it after the second.
type lateWriteStore struct {
	*platform.Client
	// lost is called when the first write is lost, unless nil.
	lost func()
	late func()
	// renewed is the lease that was renewed last.
	renewed atomic.Uint64
}

func (s *lateWriteStore) PutWithLease(ctx context.Context, key string, value []byte, lease platform.Lease) error {
	if s.late == nil {
		s.late = func() { _ = s.Client.PutWithLease(ctx, key, value, lease) }
		if s.lost != nil {
			s.lost()
		}
		return platform.NewError("put", platform.KindUnknown, key, errNoAnswer)
	}
	err := s.Client.PutWithLease(ctx, key, value, lease)
	s.late()
	return err
}

func (s *lateWriteStore) RenewLease(ctx context.Context, lease platform.Lease) error {
	err := s.Client.RenewLease(ctx, lease)
	if err == nil {
		s.renewed.Store(lease.Number())
	}
	return err
}

func contains(hosts []*host, h *host) bool {
	for _, other := range hosts {
		if other == h {
			return true
		}
	}
	return false
}
