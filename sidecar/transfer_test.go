package sidecar_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/sidecar"
)

var _ = Describe("the bytes exchanged with other failure domains", func() {
	It("are counted for regions, too", func() {
		domains, regions := sidecar.CountBeacons(map[string]locality.Way{
			"own": locality.Within, "near": locality.BetweenDomains, "far": locality.BetweenRegions,
		}, 100)
		Expect(domains).To(Equal(int64(200)))
		Expect(regions).To(Equal(int64(100)))
	})
})
