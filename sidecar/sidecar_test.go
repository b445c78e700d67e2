package sidecar_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/settings"
	"github.com/banyancross/banyancross/sidecar"
	"github.com/banyancross/banyancross/standin"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "sidecar")
}

// host is a sidecar and its backend server.
type host struct {
	name    string
	backend *standin.Backend
	conf    *settings.Sidecar
	sidecar *sidecar.Sidecar
}

// testFleet is a set of hosts with one store.
type testFleet struct {
	store  *standin.Platform
	server *httptest.Server
	hosts  []*host
	ids    int
	// firstStart means that the hosts start as parts of a new fleet.
	firstStart bool
	// settings is appended to the settings of the hosts that are added.
	settings string
	// bounds is added to the bounds in the settings.
	bounds string
	// grace is the grace period in the settings, 0 for that of package standin.
	grace time.Duration
	// service is the service of the hosts that are added, stock if it is empty.
	service string
	// domains holds the failure domains of the first hosts, z1 for the others.
	domains []string
}

func newTestFleet() *testFleet {
	GinkgoHelper()
	f := &testFleet{store: standin.NewPlatform()}
	f.store.SetTimeline(1)
	f.server = httptest.NewServer(f.store)
	DeferCleanup(func() {
		f.store.Close()
		f.server.Close()
	})
	return f
}

const configuration = `{"version":"r%d","resources":[
 {"type_url":"routes","metadata":{"name":"view"},"spec":{"host":"x","prefix":"/view/","type":"safe","timeout_ms":20000,"goal_ms":10000,"priority":2,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"pay"},"spec":{"host":"x","prefix":"/pay/","type":"unsafe","timeout_ms":20000,"goal_ms":10000,"priority":1,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"short"},"spec":{"host":"x","prefix":"/short/","type":"safe","timeout_ms":200,"goal_ms":10000,"priority":1,"attempts":1,"service":"stock"}},
 {"type_url":"services","metadata":{"name":"stock"},"spec":{"health_path":"/healthz","max_conns":240}},
 {"type_url":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

func (f *testFleet) publish(version int) {
	f.store.Store("op/config", fmt.Appendf(nil, configuration, version))
}

const (
	// firstPort is the first of the ports that tests use; they are below the
	// ephemeral ports, which outgoing connections use.
	firstPort = 20000
	// portRanges is the number of ranges, one for each test process at a time, and
	// portsPerRange the number of ports in each.
	portRanges    = 8
	portsPerRange = 1500
)

var (
	// reservation listens at the first port of this process's range.
	reservation net.Listener
	// portRange is the first port of this process's range, and nextPort the last port tried.
	portRange = reservePorts()
	nextPort  = portRange
)

// reservePorts returns the first port of a range and listens there until the
// process ends, so that another process that runs these tests takes another range.
func reservePorts() int {
	for i := range portRanges {
		port := firstPort + i*portsPerRange
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			reservation = listener
			return port
		}
	}
	panic("all port ranges are in use")
}

// freeAddress returns an address in this process's range at which nothing listens.
func freeAddress() string {
	GinkgoHelper()
	for range portsPerRange {
		nextPort++
		if nextPort == portRange+portsPerRange {
			nextPort = portRange
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
	Fail("no free port")
	return ""
}

// add starts a host whose backend server has not sent a heartbeat yet.
func (f *testFleet) add(options ...sidecar.Option) *host {
	GinkgoHelper()
	if len(f.hosts) < len(f.domains) {
		return f.addIn(f.domains[len(f.hosts)], options...)
	}
	return f.addIn("z1", options...)
}

// addIn is add in a failure domain.
func (f *testFleet) addIn(failureDomain string, options ...sidecar.Option) *host {
	GinkgoHelper()
	service := cmp.Or(f.service, "stock")
	name := fmt.Sprintf("%s-%d", service, len(f.hosts)+1)
	backend, err := standin.NewBackend("i-"+name, service, failureDomain, "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	text := standin.SidecarSettings{
		Name: name, FailureDomain: failureDomain, Service: service, Platform: strings.TrimPrefix(f.server.URL, "http://"),
		Backend: backend.Address(), Callers: freeAddress(), Nodes: freeAddress(), Datagrams: freeAddress(),
		Ready: freeAddress(), Upstream: freeAddress(), Metrics: freeAddress(),
		FirstStart: f.firstStart, Grace: f.grace,
	}.TOML() + f.bounds + f.settings
	conf, err := settings.ParseSidecar("sidecar.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	h := &host{name: name, backend: backend, conf: conf}
	f.hosts = append(f.hosts, h)
	h.start(options...)
	return h
}

func (h *host) start(options ...sidecar.Option) {
	GinkgoHelper()
	s, err := sidecar.New(h.conf, append([]sidecar.Option{sidecar.WithLogger(log.NewJSONLogger(GinkgoWriter))}, options...)...)
	Expect(err).NotTo(HaveOccurred())
	h.sidecar = s
	DeferCleanup(s.Kill)
}

func (h *host) sendHeartbeat(state string) {
	GinkgoHelper()
	status, err := h.backend.Heartbeat(context.Background(), h.conf.UpstreamAddress(), state)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
}

// reply is the response that a caller received.
type reply struct {
	status     int
	body       string
	stamp      string
	retryAfter string
	err        error
}

// send sends a request through a host, on a connection of its own.
func (f *testFleet) send(h *host, method, target string) reply {
	f.ids++
	return call(h, method, target, fmt.Sprintf("r%d", f.ids))
}

func call(h *host, method, target, id string) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	request, err := http.NewRequest(method, "http://"+h.conf.CallerAddress()+target, bytes.NewReader([]byte("body")))
	if err != nil {
		return reply{err: err}
	}
	request.Host = "x"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Timeout-Ms", "20000")
	request.Header.Set("Caller-Service", "forged")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, body: string(body), stamp: response.Header.Get("Response-Stamp"),
		retryAfter: response.Header.Get("Retry-After"), err: err,
	}
}

// twoHosts returns a fleet with a configuration and two hosts that serve requests.
func twoHosts() (f *testFleet, a, b *host) {
	GinkgoHelper()
	return twoHostsWithGrace(0)
}

// twoHostsWithGrace is twoHosts with a grace period.
func twoHostsWithGrace(grace time.Duration) (f *testFleet, a, b *host) {
	GinkgoHelper()
	f = newTestFleet()
	f.grace = grace
	f.publish(1)
	a, b = f.add(), f.add()
	a.sendHeartbeat("ready")
	b.sendHeartbeat("ready")
	f.waitUntilServedBy(a, "i-stock-1")
	f.waitUntilServedBy(a, "i-stock-2")
	return f, a, b
}

// earnRetries sends requests through a host that has just started, which allow it two
// retries.
func (f *testFleet) earnRetries(h *host) {
	GinkgoHelper()
	for range 20 {
		Expect(f.send(h, http.MethodGet, "/view/warm").status).To(Equal(http.StatusOK))
	}
}

// waitUntilServedBy waits until a request through a host runs at an upstream.
func (f *testFleet) waitUntilServedBy(h *host, instance string) {
	GinkgoHelper()
	Eventually(func() string { return f.send(h, http.MethodGet, "/view/warm").body }).Should(HavePrefix(instance))
}

// waitUntilAvailable waits until a node considers another host's upstream
// available.
func (f *testFleet) waitUntilAvailable(h, other *host) {
	GinkgoHelper()
	Eventually(func() bool { return h.sidecar.UpstreamAvailable(other.name) }).Should(BeTrue())
}

// runs returns the runs of a request at all backend servers.
func (f *testFleet) runs(id string) (runs []standin.Run) {
	for _, h := range f.hosts {
		for _, run := range h.backend.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// addCrashing starts a host whose upstream crashes when it runs a request, and waits until
// entry knows it.
func (f *testFleet) addCrashing(entry *host) {
	GinkgoHelper()
	h := f.add()
	h.sendHeartbeat("ready")
	h.backend.InjectFaults(standin.FaultCrash)
	f.waitUntilAvailable(entry, h)
}

// fleetAfterCrashes returns a fleet in which one request, sent to entry, has crashed three of
// four upstreams.
func fleetAfterCrashes() (f *testFleet, entry *host) {
	GinkgoHelper()
	f = newTestFleet()
	f.publish(1)
	entry = f.add()
	for range 4 {
		f.addCrashing(entry)
	}
	for i := range 3 {
		r := call(entry, http.MethodPost, "/pay/deadly", fmt.Sprintf("d%d", i))
		Expect(r.status).To(Equal(http.StatusBadGateway))
		Expect(f.runs(fmt.Sprintf("d%d", i))).To(HaveLen(1))
	}
	return f, entry
}

var _ = Describe("the addresses of hosts", func() {
	It("are in the range of this process, however many are needed", func() {
		// Guards against two processes that run these tests and take each other's ports.
		for range 2 * portsPerRange {
			_, port, err := net.SplitHostPort(freeAddress())
			Expect(err).NotTo(HaveOccurred())
			Expect(strconv.Atoi(port)).To(And(BeNumerically(">", portRange), BeNumerically("<", portRange+portsPerRange)))
		}
	})
})

var _ = Describe("a fleet of sidecars", func() {
	It("forwards a request unchanged and sets its caller service", func() {
		f, a, _ := twoHosts()
		r := call(a, http.MethodPost, "/pay/1?q=2", "p1")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.stamp).NotTo(BeEmpty())
		runs := f.runs("p1")
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Method).To(Equal(http.MethodPost))
		Expect(runs[0].Target).To(Equal("/pay/1?q=2"))
		Expect(runs[0].Body).To(Equal("body"))
		Expect(runs[0].Caller).To(Equal("stock"))
	})

	It("responds 503 before the first configuration, and 404 only without a matching route", func() {
		f := newTestFleet()
		a := f.add()
		r := f.send(a, http.MethodGet, "/view/1")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.retryAfter).NotTo(BeEmpty())
		Expect(a.sidecar.Ready()).To(BeFalse())
		f.publish(1)
		Eventually(a.sidecar.Ready).Should(BeTrue())
		Expect(f.send(a, http.MethodGet, "/nowhere/1").status).To(Equal(http.StatusNotFound))
		Expect(f.send(a, http.MethodGet, "/view/1").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("applies newer configurations and never an older or malformed one", func() {
		f, a, b := twoHosts()
		f.publish(5)
		f.store.Store("op/config", []byte(`{"version":"r9","resources":[`))
		f.publish(3)
		f.publish(6)
		for _, h := range []*host{a, b} {
			Eventually(func() string { return h.revision() }).Should(Equal("6"))
		}
	})

	DescribeTable("retries an idempotent request at another upstream",
		func(fault standin.Fault) {
			f, a, b := twoHosts()
			f.earnRetries(a)
			a.backend.InjectFaults(fault)
			b.backend.InjectFaults(fault)
			// One of the two faults may remain after the first request.
			first := f.send(a, http.MethodGet, "/view/1")
			second := f.send(a, http.MethodGet, "/view/2")
			Expect([]int{first.status, second.status}).To(ContainElement(http.StatusOK))
			for _, r := range []reply{first, second} {
				if r.status == http.StatusOK {
					Expect(r.stamp).NotTo(BeEmpty())
					Expect(r.body).To(HavePrefix("i-stock-"))
				} else {
					Expect(r.stamp == "" || r.status == http.StatusInternalServerError).To(BeTrue())
				}
			}
		},
		Entry("after a lost response", standin.FaultDisconnect),
		Entry("after a response without a signature", standin.FaultUnstamped),
		Entry("after a truncated response", standin.FaultTruncate),
		Entry("after a malformed response", standin.FaultMalformed),
		Entry("after a head that is cut short", standin.FaultTruncateHead),
		Entry("after a trailer section beyond the limit", standin.FaultLongTrailer),
		Entry("after an error response", standin.FaultError),
		Entry("after an error response with a long body", standin.FaultLongError),
		Entry("after a rejection", standin.FaultShed),
		Entry("after status 503 of an upstream that ran it", standin.FaultRunUnavailable),
		Entry("after status 429 of an upstream that ran it", standin.FaultRunLimited),
		Entry("after status 408 of an upstream that ran it", standin.FaultRunTimeout),
	)

	DescribeTable("runs a non-idempotent request at most once",
		func(fault standin.Fault, status int) {
			f, a, b := twoHosts()
			a.backend.InjectFaults(fault)
			b.backend.InjectFaults(fault)
			r := call(a, http.MethodPost, "/pay/1", "p1")
			Expect(r.status).To(Equal(status))
			Expect(f.runs("p1")).To(HaveLen(1))
		},
		Entry("after a lost response", standin.FaultDisconnect, http.StatusBadGateway),
		Entry("after a response without a signature", standin.FaultUnstamped, http.StatusBadGateway),
		Entry("after a truncated response", standin.FaultTruncate, http.StatusBadGateway),
		Entry("after a malformed response", standin.FaultMalformed, http.StatusBadGateway),
		Entry("after a head that is cut short", standin.FaultTruncateHead, http.StatusBadGateway),
		Entry("after a trailer section beyond the limit", standin.FaultLongTrailer, http.StatusBadGateway),
		Entry("after an error response", standin.FaultError, http.StatusInternalServerError),
		// Guard against a promise that a request has not run, made by an upstream that ran it.
		Entry("after status 503", standin.FaultRunUnavailable, http.StatusBadGateway),
		Entry("after status 429", standin.FaultRunLimited, http.StatusBadGateway),
		Entry("after status 408", standin.FaultRunTimeout, http.StatusBadGateway),
		Entry("with an extra response", standin.FaultExtra, http.StatusOK),
		Entry("with a repeated rejection of a health check", standin.FaultRepeatRejection, http.StatusOK),
		Entry("with a response without a length", standin.FaultUnframed, http.StatusOK),
	)

	It("sends a non-idempotent request to another upstream if the first has not run it", func() {
		f, a, b := twoHosts()
		a.backend.InjectFaults(standin.FaultShed)
		b.backend.InjectFaults(standin.FaultShed)
		first := call(a, http.MethodPost, "/pay/1", "p1")
		Expect(first.status).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)))
		if first.status == http.StatusServiceUnavailable {
			Expect(f.runs("p1")).To(BeEmpty())
		} else {
			Expect(f.runs("p1")).To(HaveLen(1))
		}
	})

	It("responds at the route's timeout", func() {
		_, a, b := twoHosts()
		releaseA, releaseB := a.backend.Hold(), b.backend.Hold()
		defer releaseA()
		defer releaseB()
		began := time.Now()
		Expect(call(a, http.MethodGet, "/short/1", "s1").status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("sends nothing to an upstream after acknowledging that it drains", func() {
		f, a, b := twoHosts()
		f.waitUntilAvailable(b, a)
		b.sendHeartbeat("draining")
		acknowledged := time.Now()
		// Earlier heartbeats arrive late, one even with a higher sequence.
		for _, sequence := range []uint64{1, 2, 99} {
			_, err := b.backend.HeartbeatWithSequence(context.Background(), b.conf.UpstreamAddress(), "ready", sequence)
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range 40 {
			Expect(f.send([]*host{a, b}[i%2], http.MethodPost, "/pay/1").status).To(Equal(http.StatusOK))
		}
		for _, run := range b.backend.Runs() {
			Expect(run.At).To(BeTemporally("<", acknowledged))
		}
	})

	DescribeTable("acknowledges no message of an upstream that breaks off", func(path string) {
		// Guards against an acknowledgement of a departure that never took effect.
		f := newTestFleet()
		h := f.add()
		connection, err := net.Dial("tcp", h.conf.UpstreamAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		Expect(connection.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(connection, "POST %s%s HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n{", path, h.backend.Instance())
		Expect(err).NotTo(HaveOccurred())
		Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := io.ReadAll(connection)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).NotTo(HavePrefix("HTTP/1.1 2"))
	},
		Entry("a heartbeat", platform.HeartbeatPath),
		Entry("a departure", platform.LeavePath),
	)

	It("does not take a departed upstream for a new one after a restart", func() {
		f, a, b := twoHosts()
		status, err := b.backend.Leave(context.Background(), b.conf.UpstreamAddress())
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		left := time.Now()
		b.sidecar.Kill()
		b.start()
		// This heartbeat was sent before the upstream departed.
		_, err = b.backend.HeartbeatWithSequence(context.Background(), b.conf.UpstreamAddress(), "ready", 7)
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.sidecar.Ready).Should(BeTrue())
		for range 40 {
			Expect(f.send(a, http.MethodPost, "/pay/1").status).To(Equal(http.StatusOK))
		}
		for _, run := range b.backend.Runs() {
			Expect(run.At).To(BeTemporally("<", left))
		}
	})

	It("does not take a departed upstream into use after a restart, however many late heartbeats come", func() {
		// Guards against calls to an upstream that left while an earlier process ran, also
		// while the store does not answer.
		f, a, b := twoHosts()
		status, err := b.backend.Leave(context.Background(), b.conf.UpstreamAddress())
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		left := time.Now()
		f.store.SetDown(true)
		b.sidecar.Kill()
		b.start()
		for sequence := uint64(2); sequence < 10; sequence++ {
			_, err = b.backend.HeartbeatWithSequence(context.Background(), b.conf.UpstreamAddress(), "ready", sequence)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
		}
		Consistently(func() bool { return a.sidecar.UpstreamAvailable(b.name) }, time.Second).Should(BeFalse())
		for range 40 {
			Expect(f.send(a, http.MethodPost, "/pay/1").status).To(Equal(http.StatusOK))
		}
		for _, run := range b.backend.Runs() {
			Expect(run.At).To(BeTemporally("<", left))
		}
	})

	It("completes the requests in progress before it stops", func() {
		f, a, b := twoHosts()
		releaseA, releaseB := a.backend.Hold(), b.backend.Hold()
		results := make(chan reply, 4)
		for i := range 4 {
			go func() { results <- call(b, http.MethodPost, "/pay/1", fmt.Sprintf("held-%d", i)) }()
		}
		Eventually(func() int {
			n := 0
			for i := range 4 {
				n += len(f.runs(fmt.Sprintf("held-%d", i)))
			}
			return n
		}).Should(Equal(4))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			b.sidecar.Stop()
		}()
		Eventually(b.sidecar.Ready).Should(BeFalse())
		releaseA()
		releaseB()
		for range 4 {
			Expect((<-results).status).To(Equal(http.StatusOK))
		}
		Eventually(stopped).Should(BeClosed())
	})

	It("cancels the request of a caller that disconnects", func() {
		f, a, b := twoHosts()
		releaseA, releaseB := a.backend.Hold(), b.backend.Hold()
		defer releaseA()
		defer releaseB()
		conn, err := net.Dial("tcp", a.conf.CallerAddress())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, "GET /view/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: gone\r\n\r\n")
		Eventually(func() int { return len(f.runs("gone")) }).Should(Equal(1))
		_ = conn.Close()
		Eventually(func() int { return a.sidecar.Running() + b.sidecar.Running() }).Should(BeZero())
	})

	It("blocks a request that has crashed three upstreams", func() {
		f, entry := fleetAfterCrashes()
		Eventually(func() bool { return entry.sidecar.Blocks("POST", "x", "/pay/deadly", "body") }).Should(BeTrue())
		Expect(call(entry, http.MethodPost, "/pay/deadly", "last").status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.runs("last")).To(BeEmpty())
	})

	It("blocks a request that has crashed three upstreams after its nodes were restarted in turn", func() {
		f, entry := fleetAfterCrashes()
		blocks := func(h *host) func() bool {
			return func() bool { return h.sidecar.Blocks("POST", "x", "/pay/deadly", "body") }
		}
		for _, h := range f.hosts {
			Eventually(blocks(h)).Should(BeTrue())
		}
		for _, h := range f.hosts {
			h.sidecar.Kill()
			h.start()
			Eventually(h.sidecar.Ready).Should(BeTrue())
			Eventually(func() int { return h.sidecar.Nodes() }).Should(BeNumerically(">", 1))
		}
		for _, h := range f.hosts {
			Eventually(blocks(h)).Should(BeTrue(), h.name)
		}
		Expect(call(entry, http.MethodPost, "/pay/deadly", "last").status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.runs("last")).To(BeEmpty())
	})

	It("keeps its service's saturation estimate after all nodes were killed", func() {
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		a.sendHeartbeat("ready")
		Eventually(a.sidecar.Limit).Should(Equal(10))
		a.sidecar.SetEstimate("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		Eventually(a.sidecar.Limit).Should(Equal(8))
		Eventually(func() []byte { return f.store.Value("banyancross/findings/stock") }).ShouldNot(BeEmpty())
		a.sidecar.Kill()
		a.start()
		a.sendHeartbeat("ready")
		Eventually(a.sidecar.Limit).Should(Equal(8))
	})

	DescribeTable("ignores a stored saturation estimate that is malformed", func(value []byte) {
		// Guards against a value of another writer that replaces what the nodes measure.
		f := newTestFleet()
		f.store.Store("banyancross/findings/stock", value)
		f.publish(1)
		a := f.add()
		a.sendHeartbeat("ready")
		f.waitUntilServedBy(a, "i-stock-1")
		Expect(a.sidecar.Limit()).To(Equal(10))
		// A later estimate counts.
		a.sidecar.SetEstimate("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		Eventually(a.sidecar.Limit).Should(Equal(8))
	},
		Entry("noise", []byte("noise")),
		Entry("no number", []byte{0xa2, 0x01, 0xf9, 0x7e, 0x00, 0x02, 0xf9, 0x7e, 0x00}),
		Entry("infinite", []byte{0xa2, 0x01, 0xf9, 0x7c, 0x00, 0x02, 0xf9, 0x7c, 0x00}),
	)

	It("gets a newer configuration from another node when its watches of the store fail", func() {
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		unwatchable := &unwatchableStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://"))}
		b := f.add(sidecar.WithStore(unwatchable))
		Eventually(a.revision).Should(Equal("1"))
		Eventually(b.revision).Should(Equal("1"))
		f.publish(4)
		Eventually(b.revision).Should(Equal("4"))
	})
})

// unwatchableStore is a store whose watches fail.
type unwatchableStore struct {
	*platform.Client
}

func (s *unwatchableStore) WatchOperators(context.Context, platform.Operators, time.Duration) (platform.Operators, error) {
	return platform.Operators{}, platform.NewError("watch", platform.KindUnavailable, "", nil)
}

func (h *host) revision() string { return fmt.Sprint(h.sidecar.Revision()) }
