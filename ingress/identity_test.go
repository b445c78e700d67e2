package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
)

// rejectAll is a sendFunc of gates that reject all calls.
func rejectAll(string, hop.Meta) *egress.Answer {
	return egress.Refusal(call.NotRun, call.ReasonOverload)
}

// ask sends a request with headers, each a name and a value, and returns the response
// without its body.
func ask(address, id string, headers ...[2]string) *http.Response {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	return askOn(conn, bufio.NewReader(conn), id, headers...)
}

// askOn is ask on an open connection.
func askOn(conn net.Conn, reader *bufio.Reader, id string, headers ...[2]string) *http.Response {
	GinkgoHelper()
	_, err := io.WriteString(conn, requestText(id, headers...))
	Expect(err).NotTo(HaveOccurred())
	return readResponse(reader)
}

func requestText(id string, headers ...[2]string) string {
	text := "GET /1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\n"
	for _, header := range headers {
		text += header[0] + ": " + header[1] + "\r\n"
	}
	return text + "\r\n"
}

func readResponse(reader *bufio.Reader) *http.Response {
	GinkgoHelper()
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

func withKey(key string) [2]string { return [2]string{"Authorization", "Bearer " + key} }

var _ = Describe("the caller's key", func() {
	publicRoute := func() route.Route {
		r := stockRoute()
		r.Public = true
		return r
	}

	DescribeTable("that belongs to no organisation gets a 401 at once, and no attempt",
		func(headers ...[2]string) {
			s := spread{table: newTable([]route.Route{stockRoute()}, newOrganisation("shop")), do: rejectAll}
			sender, address := s.start()
			began := time.Now()
			response := ask(address, "a", headers...)
			Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond), "the timeout is 400 ms")
			Expect(response.Header.Get("WWW-Authenticate")).To(Equal("Bearer"))
			Expect(response.Header.Get("Request-Id")).To(Equal("a"))
			Expect(s.reasons).To(Receive(Equal(call.ReasonUnknownKey)))
			Expect(sender.attempts()).To(BeEmpty())
		},
		Entry("none"),
		Entry("unknown", withKey("other")),
		Entry("two", withKey("shop-key"), withKey("shop-key")),
		Entry("another scheme", [2]string{"Authorization", "Basic shop-key"}),
		Entry("the name of an organisation instead", [2]string{"Tenant", "shop"}),
		Entry("another case", withKey("SHOP-KEY")),
		Entry("bytes out of ASCII", withKey("shop-key\xff")),
		Entry("long", withKey(strings.Repeat("k", 12<<10))),
	)

	DescribeTable("stays at the entry node, and the gate is told its organisation whatever the caller sent",
		func(r route.Route, want string, headers ...[2]string) {
			s := spread{table: newTable([]route.Route{r}, newOrganisation("shop"), newOrganisation("lab")), do: rejectAll}
			sender, address := s.start()
			Expect(ask(address, "a", headers...).StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(sender.attempts()).NotTo(BeEmpty())
			for _, a := range sender.attempts() {
				Expect(a.meta.Organisation).To(Equal(want))
				Expect(a.call.Header).NotTo(HaveKey("Authorization"))
				Expect(a.call.Header).NotTo(HaveKey("Tenant"))
				Expect(fmt.Sprintf("%+v %+v", a.meta, a.call)).NotTo(ContainSubstring("-key"))
			}
		},
		Entry("known", stockRoute(), "shop", withKey("shop-key")),
		Entry("with another name", stockRoute(), "shop", withKey("shop-key"), [2]string{"Tenant", "lab"}),
		Entry("known on a public route", publicRoute(), "shop", withKey("shop-key")),
		Entry("unknown on a public route", publicRoute(), "", withKey("old-key"), [2]string{"tenant", "shop"}),
		Entry("two on a public route", publicRoute(), "", withKey("shop-key"), withKey("lab-key")),
		Entry("none on a public route", publicRoute(), "", [2]string{"TENANT", "shop"}),
	)

	It("tells the requests of organisations apart that crash upstreams", func() {
		// Guards against a request that crashes upstreams without end, as the same request of
		// another organisation is answered and clears its count.
		blocklist := quarantine.NewBlocklist()
		s := spread{
			table: newTable([]route.Route{stockRoute()}, newOrganisation("shop"), newOrganisation("lab")), do: rejectAll,
			options: []ingress.Option{ingress.WithBlocklist(blocklist)},
		}
		sender, address := s.start()
		sendFrom := func(key string) uint64 {
			Expect(ask(address, "a", withKey(key)).StatusCode).To(Equal(http.StatusServiceUnavailable))
			attempts := sender.attempts()
			return attempts[len(attempts)-1].meta.Fingerprint
		}
		deadly := sendFrom("shop-key")
		for range 2 {
			blocklist.Crashed(time.Now(), []uint64{deadly})
		}
		blocklist.Answered(time.Now(), sendFrom("lab-key"))
		blocklist.Crashed(time.Now(), []uint64{deadly})
		Expect(blocklist.Blocked(deadly)).To(BeTrue())
		Expect(sendFrom("lab-key")).NotTo(Equal(deadly))
	})

	It("tells the requests of services apart that crash upstreams", func() {
		// Guards against a request that crashes upstreams without end, as the same request from
		// hosts of another service is answered and clears its count, and against its refusal.
		blocklist := quarantine.NewBlocklist()
		sendFrom := func(service string) (fingerprint uint64, sent bool) {
			s := spread{
				table: newTable([]route.Route{stockRoute()}), do: rejectAll, service: service,
				options: []ingress.Option{ingress.WithBlocklist(blocklist)},
			}
			sender, address := s.start()
			Expect(ask(address, "a").StatusCode).To(Equal(http.StatusServiceUnavailable))
			attempts := sender.attempts()
			if len(attempts) == 0 {
				return 0, false
			}
			return attempts[0].meta.Fingerprint, true
		}
		deadly, _ := sendFrom("shop")
		again, _ := sendFrom("shop")
		Expect(again).To(Equal(deadly), "from any host of the service")
		other, _ := sendFrom("lab")
		for range 2 {
			blocklist.Crashed(time.Now(), []uint64{deadly})
		}
		blocklist.Answered(time.Now(), other)
		blocklist.Crashed(time.Now(), []uint64{deadly})
		_, sent := sendFrom("shop")
		Expect(sent).To(BeFalse())
		_, sent = sendFrom("lab")
		Expect(sent).To(BeTrue())
	})

	It("is not looked at without organisations", func() {
		s := spread{table: newTable([]route.Route{stockRoute()}), do: rejectAll}
		sender, address := s.start()
		Expect(ask(address, "a", withKey("any")).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(sender.attempts()[0].call.Header).To(HaveKey("Authorization"), "it is the callers' own header then")
	})

	It("is not judged before the first configuration", func() {
		s := spread{table: func() *route.Table { return nil }, do: rejectAll}
		sender, address := s.start()
		Expect(ask(address, "a", withKey("shop-key")).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(s.reasons).To(Receive(Equal(call.ReasonNoConfig)))
		Expect(sender.attempts()).To(BeEmpty())
	})

	// The pattern: operators withdraw the key of a caller that keeps its connections open.
	It("is refused on kept and pipelined connections once it was withdrawn", func() {
		var table atomic.Pointer[route.Table]
		table.Store(newTable([]route.Route{stockRoute()}, newOrganisation("shop"), newOrganisation("lab"))())
		s := spread{table: table.Load, do: rejectAll}
		sender, address := s.start()
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		Expect(askOn(conn, reader, "a", withKey("shop-key")).StatusCode).To(Equal(http.StatusServiceUnavailable))
		before := len(sender.attempts())
		table.Store(newTable([]route.Route{stockRoute()}, newOrganisation("lab"))())
		Expect(askOn(conn, reader, "b", withKey("shop-key")).StatusCode).To(Equal(http.StatusUnauthorized))
		_, err = io.WriteString(conn, requestText("c", withKey("shop-key"))+requestText("d", withKey("lab-key"))+requestText("e", withKey("shop-key")))
		Expect(err).NotTo(HaveOccurred())
		for _, want := range []int{http.StatusUnauthorized, http.StatusServiceUnavailable, http.StatusUnauthorized} {
			Expect(readResponse(reader).StatusCode).To(Equal(want))
		}
		for _, a := range sender.attempts()[before:] {
			Expect(a.meta.ID).To(HavePrefix("d"))
		}
	})

	It("gives requests the priority of its organisation, before that of the route", func() {
		s := spread{
			table: newTable([]route.Route{stockRoute()}, newOrganisation("shop", organisation.WithPriority(0)), newOrganisation("lab")),
			do:    rejectAll,
		}
		sender, address := s.start()
		ask(address, "a", withKey("shop-key"))
		Expect(sender.attempts()[0].meta.Priority).To(Equal(0))
		before := len(sender.attempts())
		ask(address, "b", withKey("lab-key"))
		Expect(sender.attempts()[before].meta.Priority).To(Equal(2))
	})
})

var _ = Describe("a nested call", func() {
	// parents is the lookup of a host on which one run of an organisation is in progress.
	parents := func(name string) ingress.Option {
		return ingress.WithParentLookup(func(id, _ string, _ int) (egress.Run, bool) {
			return egress.Run{Organisation: name}, id == "running"
		})
	}
	start := func(name string) (*spread, *fakeSender, string) {
		s := &spread{
			table: newTable([]route.Route{stockRoute()}, newOrganisation("shop"), newOrganisation("lab")), do: rejectAll,
			options: []ingress.Option{parents(name)},
		}
		sender, address := s.start()
		return s, sender, address
	}

	It("belongs to the organisation of its run, which it cannot choose", func() {
		_, sender, address := start("shop")
		Expect(ask(address, "running.1", [2]string{"Tenant", "lab"}).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(sender.attempts()).NotTo(BeEmpty())
		for _, a := range sender.attempts() {
			Expect(a.meta.Organisation).To(Equal("shop"))
		}
	})

	It("goes on when its organisation has left the configuration meanwhile", func() {
		_, sender, address := start("gone")
		ask(address, "running.1")
		Expect(sender.attempts()).NotTo(BeEmpty())
		Expect(sender.attempts()[0].meta.Organisation).To(Equal("gone"))
	})

	It("of a run without an organisation has none", func() {
		_, sender, address := start("")
		ask(address, "running.1")
		Expect(sender.attempts()).NotTo(BeEmpty())
		Expect(sender.attempts()[0].meta.Organisation).To(BeEmpty())
	})

	It("of an unknown run is rejected for the time being, and reaches no upstream", func() {
		s, sender, address := start("shop")
		response := ask(address, "ended.1", [2]string{"Tenant", "shop"})
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(s.reasons).To(Receive(Equal(call.ReasonNoParent)))
		Expect(sender.attempts()).To(BeEmpty())
	})

	It("that names a run but has an unknown key is not taken for one", func() {
		_, sender, address := start("shop")
		Expect(ask(address, "running.1", withKey("other")).StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(ask(address, "running.2", [2]string{"Authorization", "Basic x"}).StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(sender.attempts()).To(BeEmpty())
	})
})
