package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

var _ = Describe("a backend that repeats responses", func() {
	var backend *standin.Backend
	var exchange func(path, id string) (repeated []string, response *http.Response)
	BeforeEach(func() {
		var err error
		backend, err = standin.NewBackend("i-1", "stock", "z1", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Close)
		conn, err := net.Dial("tcp", backend.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		reader := bufio.NewReader(conn)
		// exchange sends a request and reads its response, and the IDs of those before it.
		exchange = func(path, id string) ([]string, *http.Response) {
			GinkgoHelper()
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nExpect-Instance: i-1\r\n\r\n", path, id)
			Expect(err).NotTo(HaveOccurred())
			for repeated := []string{}; ; {
				response, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, response.Body)
				Expect(err).NotTo(HaveOccurred())
				if response.Header.Get("Request-Id") == id {
					return repeated, response
				}
				repeated = append(repeated, response.Header.Get("Request-Id"))
			}
		}
	})

	It("writes each before later responses on the connection, up to twice, some late", func() {
		backend.SetRepeatShare(1)
		const requests, maxDelay = 200, 4
		copies, late := map[string]int{}, 0
		for i := range requests {
			repeated, _ := exchange("/", fmt.Sprint(i))
			for _, id := range repeated {
				copies[id]++
				if id != fmt.Sprint(i-1) {
					late++
				}
			}
		}
		for i := range requests - maxDelay - 1 {
			Expect(copies).To(HaveKeyWithValue(fmt.Sprint(i), BeElementOf(1, 2)))
		}
		Expect(copies).To(ContainElements(1, 2))
		Expect(late).To(And(BeNumerically(">", 20), BeNumerically("<", requests)))
		Expect(backend.Runs()).To(HaveLen(requests))
	})

	It("repeats rejections, and responses to health checks, which have no ID", func() {
		backend.SetRepeatShare(1)
		backend.SetRejectShare(1)
		_, response := exchange("/", "a")
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Not-Executed")).To(Equal("1"))
		Expect(backend.Runs()).To(BeEmpty())
		backend.SetRejectShare(0)
		repeated, _ := exchange("/healthz", "")
		for i := range 6 {
			before, response := exchange("/", fmt.Sprint(i))
			repeated = append(repeated, before...)
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(repeated).To(ContainElements("a", ""))
		Expect(backend.Runs()).To(HaveLen(6))
	})
})
