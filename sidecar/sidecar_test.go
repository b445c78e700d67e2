package sidecar_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
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

// host is a sidecar and the backend server beside it.
type host struct {
	name    string
	backend *standin.Backend
	conf    *settings.Sidecar
	sidecar *sidecar.Sidecar
}

// world is a small fleet around one store.
type world struct {
	store  *standin.Platform
	server *httptest.Server
	hosts  []*host
	ids    int
}

func newWorld() *world {
	GinkgoHelper()
	w := &world{store: standin.NewPlatform()}
	w.server = httptest.NewServer(w.store)
	DeferCleanup(func() {
		w.store.Close()
		w.server.Close()
	})
	return w
}

const configuration = `{"version":"r%d","resources":[
 {"type_url":"routes","metadata":{"name":"view"},"spec":{"host":"x","prefix":"/view/","type":"safe","timeout_ms":20000,"goal_ms":10000,"priority":2,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"pay"},"spec":{"host":"x","prefix":"/pay/","type":"unsafe","timeout_ms":20000,"goal_ms":10000,"priority":1,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"short"},"spec":{"host":"x","prefix":"/short/","type":"safe","timeout_ms":200,"goal_ms":10000,"priority":1,"attempts":1,"service":"stock"}},
 {"type_url":"services","metadata":{"name":"stock"},"spec":{"health_path":"/healthz","max_conns":240}},
 {"type_url":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

func (w *world) publish(version int) {
	w.store.Store("op/config", fmt.Appendf(nil, configuration, version))
}

// nextPort is below the ports that outgoing connections are given.
var nextPort = 20000 + os.Getpid()%8000

// freeAddress returns an address that nothing listens at.
func freeAddress() string {
	GinkgoHelper()
	for range 100 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	Fail("no free port")
	return ""
}

// add starts a host whose backend server has not reported itself yet.
func (w *world) add(options ...sidecar.Option) *host {
	GinkgoHelper()
	name := fmt.Sprintf("stock-%d", len(w.hosts)+1)
	backend, err := standin.NewBackend("i-"+name, "stock", "z1", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	text := standin.SidecarSettings{
		Name: name, FailureDomain: "z1", Service: "stock", Platform: strings.TrimPrefix(w.server.URL, "http://"),
		Backend: backend.Address(), Callers: freeAddress(), Nodes: freeAddress(), Datagrams: freeAddress(),
		Ready: freeAddress(), Upstream: freeAddress(), Metrics: freeAddress(),
	}.TOML()
	conf, err := settings.ParseSidecar("sidecar.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	h := &host{name: name, backend: backend, conf: conf}
	w.hosts = append(w.hosts, h)
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

func (h *host) beat(state string) {
	GinkgoHelper()
	status, err := h.backend.Heartbeat(context.Background(), h.conf.Upstream(), state)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
}

// reply is a caller's view of an answer.
type reply struct {
	status int
	body   string
	stamp  string
	after  string
	err    error
}

// send sends a request through a host, on a connection of its own.
func (w *world) send(h *host, method, target string) reply {
	w.ids++
	return call(h, method, target, fmt.Sprintf("r%d", w.ids))
}

func call(h *host, method, target, id string) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	request, err := http.NewRequest(method, "http://"+h.conf.Callers()+target, bytes.NewReader([]byte("body")))
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
		after: response.Header.Get("Retry-After"), err: err,
	}
}

// pair returns a world with a configuration and two hosts that serve.
func pair() (w *world, a, b *host) {
	GinkgoHelper()
	w = newWorld()
	w.publish(1)
	a, b = w.add(), w.add()
	a.beat("ready")
	b.beat("ready")
	w.reaches(a, "i-stock-1")
	w.reaches(a, "i-stock-2")
	return w, a, b
}

// reaches waits until requests through a host run at an upstream.
func (w *world) reaches(h *host, instance string) {
	GinkgoHelper()
	Eventually(func() string { return w.send(h, http.MethodGet, "/view/warm").body }).Should(HavePrefix(instance))
}

// knows waits until a node sees another one's upstream.
func (w *world) knows(h, other *host) {
	GinkgoHelper()
	Eventually(func() bool { return h.sidecar.Sees(other.name) }).Should(BeTrue())
}

// runs returns the runs of a request at all backend servers.
func (w *world) runs(id string) (runs []standin.Run) {
	for _, h := range w.hosts {
		for _, run := range h.backend.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

var _ = Describe("a fleet of sidecars", func() {
	It("passes a request on unchanged and stamps its caller", func() {
		w, a, _ := pair()
		r := call(a, http.MethodPost, "/pay/1?q=2", "p1")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.stamp).NotTo(BeEmpty())
		runs := w.runs("p1")
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Method).To(Equal(http.MethodPost))
		Expect(runs[0].Target).To(Equal("/pay/1?q=2"))
		Expect(runs[0].Body).To(Equal("body"))
		Expect(runs[0].Caller).To(Equal("stock"))
	})

	It("answers 503 before the first configuration, and 404 only for what it does not route", func() {
		w := newWorld()
		a := w.add()
		r := w.send(a, http.MethodGet, "/view/1")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.after).NotTo(BeEmpty())
		Expect(a.sidecar.Ready()).To(BeFalse())
		w.publish(1)
		Eventually(a.sidecar.Ready).Should(BeTrue())
		Expect(w.send(a, http.MethodGet, "/nowhere/1").status).To(Equal(http.StatusNotFound))
		Expect(w.send(a, http.MethodGet, "/view/1").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("follows the configuration and never goes back", func() {
		w, a, b := pair()
		w.publish(5)
		w.store.Store("op/config", []byte(`{"version":"r9","resources":[`))
		w.publish(3)
		w.publish(6)
		for _, h := range []*host{a, b} {
			Eventually(func() string { return h.metricsRevision() }).Should(Equal("6"))
		}
	})

	DescribeTable("repeats an idempotent request at another upstream",
		func(fault standin.Fault) {
			w, a, b := pair()
			a.backend.InjectFaults(fault)
			b.backend.InjectFaults(fault)
			// One of the two upstreams has its fault left after the first send.
			first := w.send(a, http.MethodGet, "/view/1")
			second := w.send(a, http.MethodGet, "/view/2")
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
		Entry("after a lost answer", standin.FaultDisconnect),
		Entry("after an answer without a signature", standin.FaultUnstamped),
		Entry("after an answer that broke off", standin.FaultTruncate),
		Entry("after bytes that are no answer", standin.FaultMalformed),
		Entry("after a failure", standin.FaultError),
		Entry("after a refusal", standin.FaultShed),
	)

	DescribeTable("runs a request that is not idempotent once at most",
		func(fault standin.Fault, status int) {
			w, a, b := pair()
			a.backend.InjectFaults(fault)
			b.backend.InjectFaults(fault)
			r := call(a, http.MethodPost, "/pay/1", "p1")
			Expect(r.status).To(Equal(status))
			Expect(w.runs("p1")).To(HaveLen(1))
		},
		Entry("after a lost answer", standin.FaultDisconnect, http.StatusBadGateway),
		Entry("after an answer without a signature", standin.FaultUnstamped, http.StatusBadGateway),
		Entry("after an answer that broke off", standin.FaultTruncate, http.StatusBadGateway),
		Entry("after bytes that are no answer", standin.FaultMalformed, http.StatusBadGateway),
		Entry("after a failure", standin.FaultError, http.StatusInternalServerError),
		Entry("with an extra answer", standin.FaultExtra, http.StatusOK),
		Entry("with an answer without a length", standin.FaultUnframed, http.StatusOK),
	)

	It("moves a request that is not idempotent when its upstream has not run it", func() {
		w, a, b := pair()
		a.backend.InjectFaults(standin.FaultShed)
		b.backend.InjectFaults(standin.FaultShed)
		first := call(a, http.MethodPost, "/pay/1", "p1")
		Expect(first.status).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)))
		if first.status == http.StatusServiceUnavailable {
			Expect(w.runs("p1")).To(BeEmpty())
		} else {
			Expect(w.runs("p1")).To(HaveLen(1))
		}
	})

	It("answers at the route's timeout", func() {
		_, a, b := pair()
		releaseA, releaseB := a.backend.Hold(), b.backend.Hold()
		defer releaseA()
		defer releaseB()
		began := time.Now()
		Expect(call(a, http.MethodGet, "/short/1", "s1").status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("sends nothing to an upstream whose leaving it has acknowledged", func() {
		w, a, b := pair()
		b.beat("draining")
		acknowledged := time.Now()
		// A heartbeat from before arrives late, with a higher sequence too.
		for _, sequence := range []uint64{1, 2, 99} {
			_, err := b.backend.HeartbeatWithSequence(context.Background(), b.conf.Upstream(), "ready", sequence)
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range 40 {
			Expect(w.send([]*host{a, b}[i%2], http.MethodPost, "/pay/1").status).To(Equal(http.StatusOK))
		}
		for _, run := range b.backend.Runs() {
			Expect(run.At).To(BeTemporally("<", acknowledged))
		}
	})

	It("does not take a leaving upstream for a new one after a restart", func() {
		w, a, b := pair()
		status, err := b.backend.Leave(context.Background(), b.conf.Upstream())
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		left := time.Now()
		b.sidecar.Kill()
		b.start()
		// The heartbeat was sent before the upstream left.
		_, err = b.backend.HeartbeatWithSequence(context.Background(), b.conf.Upstream(), "ready", 7)
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.sidecar.Ready).Should(BeTrue())
		for range 40 {
			Expect(w.send(a, http.MethodPost, "/pay/1").status).To(Equal(http.StatusOK))
		}
		for _, run := range b.backend.Runs() {
			Expect(run.At).To(BeTemporally("<", left))
		}
	})

	It("ends what runs before it stops", func() {
		w, a, b := pair()
		releaseA, releaseB := a.backend.Hold(), b.backend.Hold()
		results := make(chan reply, 4)
		for i := range 4 {
			go func() { results <- call(b, http.MethodPost, "/pay/1", fmt.Sprintf("held-%d", i)) }()
		}
		Eventually(func() int {
			n := 0
			for i := range 4 {
				n += len(w.runs(fmt.Sprintf("held-%d", i)))
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

	It("ends the work of a caller that leaves", func() {
		w, a, b := pair()
		releaseA, releaseB := a.backend.Hold(), b.backend.Hold()
		defer releaseA()
		defer releaseB()
		conn, err := net.Dial("tcp", a.conf.Callers())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, "GET /view/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: gone\r\n\r\n")
		Eventually(func() int { return len(w.runs("gone")) }).Should(Equal(1))
		_ = conn.Close()
		Eventually(func() int { return a.sidecar.Running() + b.sidecar.Running() }).Should(BeZero())
	})

	It("holds a request under which three upstreams have ended", func() {
		w := newWorld()
		w.publish(1)
		entry := w.add()
		for range 4 {
			h := w.add()
			h.beat("ready")
			h.backend.InjectFaults(standin.FaultCrash)
			w.knows(entry, h)
		}
		for i := range 3 {
			r := call(entry, http.MethodPost, "/pay/deadly", fmt.Sprintf("d%d", i))
			Expect(r.status).To(Equal(http.StatusBadGateway))
			Expect(w.runs(fmt.Sprintf("d%d", i))).To(HaveLen(1))
		}
		Eventually(func() bool { return entry.sidecar.Holds("POST", "x", "/pay/deadly", "body") }).Should(BeTrue())
		Expect(call(entry, http.MethodPost, "/pay/deadly", "last").status).To(Equal(http.StatusServiceUnavailable))
		Expect(w.runs("last")).To(BeEmpty())
	})

	It("remembers how its service behaves in a crowd after all nodes were killed", func() {
		w := newWorld()
		w.publish(1)
		a := w.add()
		a.beat("ready")
		Eventually(a.sidecar.Limit).Should(Equal(10))
		a.sidecar.Find("stock", egress.SaturationEstimate{Slowdown: 1.6, Samples: 100})
		Eventually(a.sidecar.Limit).Should(Equal(8))
		Eventually(func() []byte { return w.store.Value("banyancross/findings/stock") }).ShouldNot(BeEmpty())
		a.sidecar.Kill()
		a.start()
		a.beat("ready")
		Eventually(a.sidecar.Limit).Should(Equal(8))
	})

	It("does without a finding that it cannot read", func() {
		w := newWorld()
		w.store.Store("banyancross/findings/stock", []byte("noise"))
		w.publish(1)
		a := w.add()
		a.beat("ready")
		w.reaches(a, "i-stock-1")
		Expect(a.sidecar.Limit()).To(Equal(10))
	})

	It("gets a newer configuration from another node when it has lost the store", func() {
		w := newWorld()
		w.publish(1)
		a := w.add()
		lost := &deafStore{Client: platform.NewClient(strings.TrimPrefix(w.server.URL, "http://"))}
		b := w.add(sidecar.WithStore(lost))
		Eventually(a.metricsRevision).Should(Equal("1"))
		Eventually(b.metricsRevision).Should(Equal("1"))
		w.publish(4)
		Eventually(b.metricsRevision).Should(Equal("4"))
	})
})

// deafStore answers no watch.
type deafStore struct {
	*platform.Client
}

func (s *deafStore) WatchFor(context.Context, string, platform.Entry, time.Duration) (platform.Entry, error) {
	return platform.Entry{}, platform.NewError("watch", platform.KindUnavailable, "", nil)
}

func (h *host) metricsRevision() string { return fmt.Sprint(h.sidecar.Revision()) }
