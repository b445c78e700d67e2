package sidecar_test

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

const evacuationOfZ2 = "op/evacuate/z2"

// unwatchable returns the option of a node that cannot watch the fleet's store.
func (f *testFleet) unwatchable() sidecar.Option {
	return sidecar.WithStore(&unwatchableStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://"))})
}

// twoDomains returns a fleet with a host in z1 and one in z2.
func twoDomains() (f *testFleet, a, b *host) {
	GinkgoHelper()
	f = newTestFleet()
	f.publish(1)
	a = f.add()
	b = f.addIn("z2")
	a.sendHeartbeat("ready")
	b.sendHeartbeat("ready")
	// Calls stay in their failure domain while it has free slots.
	f.waitUntilServedBy(a, "i-stock-1")
	f.waitUntilServedBy(b, "i-stock-2")
	f.waitUntilAvailable(a, b)
	f.waitUntilAvailable(b, a)
	return f, a, b
}

// waitForEvacuation waits until all hosts know that exactly these domains are evacuated.
func (f *testFleet) waitForEvacuation(domains ...string) {
	GinkgoHelper()
	for _, h := range f.hosts {
		Eventually(h.sidecar.Evacuated).Should(ConsistOf(domains))
	}
}

// expectNoRuns sends requests through hosts and expects success, and no run at another.
func (f *testFleet) expectNoRuns(at *host, through ...*host) {
	GinkgoHelper()
	before := len(at.backend.Runs())
	for i := range 30 {
		Expect(f.send(through[i%len(through)], http.MethodPost, "/pay/1").status).To(Equal(http.StatusOK))
	}
	Expect(at.backend.Runs()).To(HaveLen(before))
}

var _ = Describe("an evacuated failure domain", func() {
	It("gets no calls until the end of the evacuation, also from nodes that hear of it by gossip only", func() {
		logs := &syncBuffer{w: &bytes.Buffer{}}
		f, a, b := twoDomains()
		c := f.addIn("z2", f.unwatchable(), sidecar.WithLogger(log.NewJSONLogger(logs)))
		f.waitUntilServedBy(c, "i-stock-2")
		f.waitUntilAvailable(c, a)
		f.store.Store(evacuationOfZ2, []byte("any"))
		f.waitForEvacuation("z2")
		f.expectNoRuns(b, a, b, c)
		Expect(b.sidecar.Ready()).To(BeTrue())
		Eventually(logs.text).Should(MatchRegexp(`"domains":"z2","event":"evacuation",.*"source":"stock-[12]","unknown":""`))
		f.store.Remove(evacuationOfZ2)
		f.waitForEvacuation()
		f.waitUntilServedBy(b, "i-stock-2")
		f.waitUntilServedBy(c, "i-stock-2")
	})

	It("gets no calls from a node that starts meanwhile and cannot watch the store", func() {
		f, a, b := twoDomains()
		f.store.Store(evacuationOfZ2, nil)
		f.waitForEvacuation("z2")
		before := len(b.backend.Runs())
		c := f.addIn("z2", f.unwatchable())
		Eventually(c.sidecar.Evacuated).Should(ConsistOf("z2"))
		f.waitUntilServedBy(c, "i-stock-1")
		f.waitUntilAvailable(c, a)
		f.expectNoRuns(b, c)
		Expect(b.backend.Runs()).To(HaveLen(before))
	})

	It("rejects calls at its own gate, whose node hears of it by gossip only, and after a restart", func() {
		f, a, b := twoDomains()
		f.store.Store(evacuationOfZ2, nil)
		f.waitForEvacuation("z2")
		b.sidecar.Kill()
		b.start(f.unwatchable())
		b.sendHeartbeat("ready")
		f.waitUntilServedBy(b, "i-stock-1")
		f.waitUntilAvailable(b, a)
		Eventually(b.sidecar.Evacuated).Should(ConsistOf("z2"))
		f.expectNoRuns(b, a, b)
	})

	It("ends its running calls", func() {
		f, _, b := twoDomains()
		release := b.backend.Hold()
		result := make(chan reply, 1)
		go func() { result <- call(b, http.MethodPost, "/pay/1", "held") }()
		Eventually(b.sidecar.Running).Should(Equal(1))
		f.store.Store(evacuationOfZ2, nil)
		f.waitForEvacuation("z2")
		release()
		var r reply
		Eventually(result).Should(Receive(&r))
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(HavePrefix("i-stock-2"))
	})

	It("is joined by another, and by all others: then calls are rejected at once", func() {
		f, a, b := twoDomains()
		f.store.Store(evacuationOfZ2, nil)
		f.store.Store("op/evacuate/nowhere", nil)
		f.store.Store("op/evacuate/z1", nil)
		f.waitForEvacuation("nowhere", "z1", "z2")
		began := time.Now()
		r := f.send(a, http.MethodGet, "/view/1")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.retryAfter).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the timeout is 20 s")
		Expect(a.sidecar.Ready()).To(BeTrue())
		f.store.Remove("op/evacuate/z1")
		f.waitForEvacuation("nowhere", "z2")
		f.expectNoRuns(b, a, b)
	})

	It("is not evacuated again by a node that has not heard of the end", func() {
		f := newTestFleet()
		f.publish(1)
		f.store.Store(evacuationOfZ2, nil)
		f.store.Remove(evacuationOfZ2)
		// The only node knows that there is no evacuation, not that there was one.
		a := f.add()
		Eventually(a.revision).Should(Equal("1"))
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = socket.Close() }()
		stale := fleet.Beacon{
			Host: "stale", Incarnation: 1, Sequence: 1, CallAddress: "127.0.0.1:1", GossipAddress: socket.LocalAddr().String(),
			FailureDomain: "z2", EvacuationRevision: 2, Evacuated: []string{"z2"}, Interval: time.Minute,
		}
		target, err := net.ResolveUDPAddr("udp", a.conf.GossipAddress())
		Expect(err).NotTo(HaveOccurred())
		// More than the regular beacons, of which there are at most seven in this time.
		const beacons, answerTime = 12, 1500 * time.Millisecond
		for sequence := uint64(1); sequence <= beacons; sequence++ {
			stale.Sequence = sequence
			data, err := stale.Encode()
			Expect(err).NotTo(HaveOccurred())
			_, err = socket.WriteToUDP(data, target)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(socket.SetReadDeadline(time.Now().Add(answerTime))).To(Succeed())
		buffer := make([]byte, 2000)
		for range beacons {
			n, err := socket.Read(buffer)
			Expect(err).NotTo(HaveOccurred(), "each stale beacon is answered")
			told, err := fleet.Decode(buffer[:n])
			Expect(err).NotTo(HaveOccurred())
			Expect(told.EvacuationRevision).To(BeNumerically(">", 2))
			Expect(told.Evacuated).To(BeEmpty())
		}
		Expect(a.sidecar.Evacuated()).To(BeEmpty())
	})
})
