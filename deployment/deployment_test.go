package deployment_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/deployment"
)

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deployment")
}

var _ = Describe("a whole fleet", Ordered, func() {
	var fleet *deployment.Deployment

	BeforeAll(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var err error
		fleet, err = deployment.Start(ctx, deployment.Paguyuban(), deployment.WithSeed(1))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
	})

	It("answers a call to every service through every node", func() {
		for _, member := range fleet.Members {
			for _, service := range fleet.Shape.Services {
				response, err := http.Get("http://" + member.Settings.CallerAddress() + "/" + service.Name + "/stock")
				Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Body.Close()).To(Succeed())
				Expect(response.StatusCode).To(Equal(http.StatusOK), string(body))
				Expect(response.Header.Get("Banyancross-Outcome")).To(Equal("answered"))
				Expect(strings.Contains(string(body), service.Name)).To(BeTrue())
			}
		}
	})
})
