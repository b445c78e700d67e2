package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	lbcall "github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/quota"
)

// datagramSource sends datagrams of a host's former processes to an entry node, in random
// order and several times, and such as a second host beside the same upstream would.
type datagramSource struct {
	rng    *rand.Rand
	entry  *host
	former *host
	socket *net.UDPConn
	sent   [][]byte
	// sequence is the highest of the second host.
	sequence uint64
}

// newDatagramSource returns a source for datagrams of former processes of a host.
func newDatagramSource(seed uint64, entry, former *host) *datagramSource {
	GinkgoHelper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(socket.Close)
	return &datagramSource{rng: rand.New(rand.NewPCG(seed, seed)), entry: entry, former: former, socket: socket}
}

// send sends one datagram, a new one or a copy of an earlier one.
func (d *datagramSource) send() error {
	data, err := d.next()
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", d.entry.conf.GossipAddress())
	if err != nil {
		return err
	}
	_, err = d.socket.WriteToUDP(data, to)
	return err
}

func (d *datagramSource) next() ([]byte, error) {
	if len(d.sent) > 0 && d.rng.IntN(2) == 0 {
		return d.sent[d.rng.IntN(len(d.sent))], nil
	}
	var data []byte
	var err error
	switch d.rng.IntN(4) {
	case 0:
		data, err = fleet.NewNotice(d.nextSequence(), d.load()).Encode()
	case 1:
		data, err = d.quotaMessage().Encode()
	default:
		data, err = d.beacon().EncodeWithin(1400)
	}
	d.sent = append(d.sent, data)
	return data, err
}

// nextSequence returns a sequence of the second host, or one that comes late.
func (d *datagramSource) nextSequence() uint64 {
	d.sequence++
	return d.sequence - d.rng.Uint64N(min(d.sequence, 5))
}

func (d *datagramSource) load() lbcall.Load {
	return lbcall.Load{
		Running: d.rng.Uint32N(30), Waiting: d.rng.Uint32N(3), Limit: d.rng.Uint32N(30), Slowdown: float32(d.rng.IntN(40)) / 10,
		Failing: d.rng.IntN(4) == 0, Cold: d.rng.IntN(4) == 0,
	}
}

// beacon returns a beacon of a former process of the host, or of the host that has the
// address of the source and leads to the same upstream.
func (d *datagramSource) beacon() fleet.Beacon {
	b := fleet.Beacon{
		Host: d.former.name, Incarnation: d.former.sidecar.Incarnation() - d.rng.Int64N(3), Sequence: d.rng.Uint64N(3),
		CallAddress: d.former.conf.AdvertisedNodeAddress(), GossipAddress: d.former.conf.GossipAddress(), FailureDomain: "z1",
		Service: "stock", Upstream: d.former.backend.Instance(), Phase: fleet.Phase(d.rng.IntN(3)), Slots: d.rng.IntN(30), Load: d.load(),
		Revision: d.rng.Uint64N(2), Stopping: d.rng.IntN(4) == 0, StoreUnreachable: d.rng.IntN(4) == 0, Ping: d.rng.IntN(8) == 0,
		Interval: time.Duration(d.rng.Int64N(int64(time.Second))), EvacuationRevision: d.rng.Uint64N(2), Evacuated: []string{"z9"},
		SaturationSlowdown: float32(d.rng.IntN(5)), SaturationSamples: float32(d.rng.IntN(100)),
	}
	if d.rng.IntN(2) == 0 {
		b.Host, b.GossipAddress = "ghost", d.socket.LocalAddr().String()
		b.Incarnation, b.Sequence = 2-d.rng.Int64N(2), d.nextSequence()
	}
	if d.rng.IntN(4) == 0 {
		b.Upstream = "i-former"
	}
	request := &http1.Request{Method: http.MethodPost, Host: "x", Target: fmt.Sprint("/pay/", d.rng.IntN(payTargets)), Content: []byte("body")}
	if d.rng.IntN(4) == 0 {
		b.Blocklist = []quarantine.Record{{Fingerprint: ingress.Fingerprint(request, "stock", ""), Crashes: d.rng.Uint32N(3), Answered: d.rng.IntN(2) == 0}}
	}
	return b
}

func (d *datagramSource) quotaMessage() quota.Message {
	return quota.Message{
		Host: d.former.name, Incarnation: d.former.sidecar.Incarnation() - d.rng.Int64N(3), ID: d.rng.Uint64N(100), Answer: d.rng.IntN(2) == 0,
		Entries: []quota.Entry{{
			Key: quota.Key("shop"), Tokens: d.rng.Uint32N(20), Returned: d.rng.Uint32N(20), LifetimeMs: d.rng.Uint32N(1000),
			StandIn: d.rng.IntN(2) == 0,
		}},
	}
}

// datagramsPerTick is the number of datagrams between two pauses of the source.
const datagramsPerTick = 4

// payTargets is the number of targets of the requests, some of which datagrams block.
const payTargets = 50

const datagramConfiguration = `{"version":"r1","resources":[
 {"type_url":"routes","metadata":{"name":"view"},"spec":{"host":"x","prefix":"/view/","type":"safe","timeout_ms":20000,"goal_ms":10000,"priority":2,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"pay"},"spec":{"host":"x","prefix":"/pay/","type":"unsafe","timeout_ms":20000,"goal_ms":10000,"priority":1,"attempts":3,"service":"stock"}},
 {"type_url":"services","metadata":{"name":"stock"},"spec":{"health_path":"/healthz","max_conns":240}}]}`

var _ = Describe("an entry node that gets late, repeated and reordered datagrams", func() {
	DescribeTable("promises of no request that ran that it has not, and sends none twice",
		func(seed uint64) {
			f := newTestFleet()
			f.store.Store("op/config", []byte(datagramConfiguration))
			for range 3 {
				f.add().sendHeartbeat("ready")
			}
			entry := f.hosts[0]
			for _, h := range f.hosts {
				f.waitUntilAvailable(entry, h)
				h.backend.SetServiceTime(2 * time.Millisecond)
				h.backend.SetRejectShare(0.2)
				h.backend.SetLossShare(0.05)
			}
			d := newDatagramSource(seed, entry, f.hosts[1])
			done, stopped := make(chan struct{}), make(chan error, 1)
			go func() {
				for {
					select {
					case <-done:
						stopped <- nil
						return
					case <-time.After(200 * time.Microsecond):
					}
					for range datagramsPerTick {
						if err := d.send(); err != nil {
							stopped <- err
							return
						}
					}
				}
			}()
			const callers, requests = 8, 100
			statuses := make([][requests]int, callers)
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := range requests {
						statuses[c][i] = pay(entry, c, i)
					}
				})
			}
			wg.Wait()
			close(done)
			Expect(<-stopped).NotTo(HaveOccurred())
			counts, ran := map[int]int{}, map[string]int{}
			for _, h := range f.hosts {
				for _, run := range h.backend.Runs() {
					ran[run.ID]++
				}
			}
			for c := range callers {
				for i, status := range statuses[c] {
					counts[status]++
					runs := ran[payID(c, i)]
					Expect(runs).To(BeNumerically("<=", 1), "%s ran twice", payID(c, i))
					if platform.PromisesNoRun(status) {
						Expect(runs).To(BeZero(), "%s: status %d", payID(c, i), status)
					}
				}
			}
			GinkgoWriter.Println("statuses:", counts, "datagrams:", len(d.sent))
			Expect(counts[http.StatusOK]).To(BeNumerically(">", callers*requests/4))
			Expect(counts[http.StatusServiceUnavailable]).To(BeNumerically(">", 0))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)
})

func payID(caller, i int) string { return fmt.Sprintf("pay-%d-%d", caller, i) }

// pay sends a request that is not idempotent and returns its status, 0 without an answer.
func pay(entry *host, caller, i int) int {
	return call(entry, http.MethodPost, fmt.Sprint("/pay/", i%payTargets), payID(caller, i)).status
}
