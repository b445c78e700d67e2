package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/settings"
)

const sidecarSettings = `host = "h1"
failure-domain = "z1"
service = "stock"
platform = "127.0.0.1:1"
backend = "127.0.0.1:2"
[listen]
callers = "127.0.0.1:3"
nodes = "127.0.0.1:4"
datagrams = "127.0.0.1:5"
ready = "127.0.0.1:6"
upstream = "127.0.0.1:7"
metrics = "127.0.0.1:8"
[bounds]
retry-ratio = 0.2
retry-slack = 60
retry-window = "10s"
grace = "6s"
memory-mb = 284
`

func TestAdvertisedNodeAddressDefaultsToNodeAddress(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.ParseSidecar("s.toml", []byte(sidecarSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.AdvertisedNodeAddress()).To(Equal("127.0.0.1:4"))
	s, err = settings.ParseSidecar("s.toml", []byte(sidecarSettings+"[advertise]\nnodes = \"127.0.0.1:9\"\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.AdvertisedNodeAddress()).To(Equal("127.0.0.1:9"))
	g.Expect(s.NodeAddress()).To(Equal("127.0.0.1:4"))
	_, err = settings.ParseSidecar("s.toml", []byte(sidecarSettings+"[advertise]\nnodes = \"elsewhere\"\n"))
	g.Expect(err).To(MatchError(ContainSubstring(`s.toml:20: invalid value: key "advertise.nodes"`)))
}

func TestTransferUnitHasADefault(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.ParseSidecar("s.toml", []byte(sidecarSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.TransferUnit()).To(Equal(int64(12288)))
	s, err = settings.ParseSidecar("s.toml", []byte(sidecarSettings+"[placement]\ntransfer-unit-bytes = 4096\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.TransferUnit()).To(Equal(int64(4096)))
}

func TestCallsLeaveByRoomWhereThereAreSeveralRegions(t *testing.T) {
	for _, c := range []struct {
		placement, regions string
		want               bool
	}{
		{"", "", false},
		{"", "[regions]\nz1 = \"r1\"\nz2 = \"r1\"\n", false},
		{"", "[regions]\nz1 = \"r1\"\nz2 = \"r2\"\n", true},
		{"leave-domain = \"by-constant\"\n", "[regions]\nz1 = \"r1\"\nz2 = \"r2\"\n", false},
		{"leave-domain = \"by-room\"\n", "", true},
	} {
		g := NewWithT(t)
		s, err := settings.ParseSidecar("s.toml", []byte(sidecarSettings+"[placement]\n"+c.placement+c.regions))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.LeavesByRoom()).To(Equal(c.want), c.placement+c.regions)
		g.Expect(s.DomainBytePrice()).To(Equal(1.0))
		g.Expect(s.RegionBytePrice()).To(Equal(2.0))
	}
	g := NewWithT(t)
	s, err := settings.ParseSidecar("s.toml", []byte(sidecarSettings+"[placement]\ndomain-byte-price = 0.5\nregion-byte-price = 7\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.DomainBytePrice()).To(Equal(0.5))
	g.Expect(s.RegionBytePrice()).To(Equal(7.0))
}

func TestInvalidSidecarSettingsAreReportedWithKeyAndLine(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`retry-ratio = 0.2`, `retry-ratio = 0`, `s.toml:14: invalid value: key "bounds.retry-ratio": 0 is not above zero`},
		{`grace = "6s"`, `grace = "soon"`, `s.toml:17: invalid value: key "bounds.grace"`},
		{`memory-mb = 284`, "memory-mb = 284\n[placement]\ntransfer-unit-bytes = -1", `s.toml:20: invalid value: key "placement.transfer-unit-bytes": -1 is not above zero`},
		{`memory-mb = 284`, "memory-mb = 284\n[placement]\nleave-domain = \"never\"", `s.toml:20: invalid value: key "placement.leave-domain"`},
		{`memory-mb = 284`, "memory-mb = 284\n[placement]\nregion-byte-price = -2", `s.toml:20: invalid value: key "placement.region-byte-price": -2 is below zero`},
		{`backend = "127.0.0.1:2"`, `backend = "here"`, `s.toml:5: invalid value: key "backend"`},
	} {
		g := NewWithT(t)
		_, err := settings.ParseSidecar("s.toml", []byte(strings.Replace(sidecarSettings, c.from, c.to, 1)))
		g.Expect(err).To(MatchError(ContainSubstring(c.want)))
	}
}
