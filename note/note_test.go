package note_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/note"
)

func TestNote(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "note")
}

var now = time.UnixMilli(1_800_000_000_000)

func parse(text string) *note.Note {
	GinkgoHelper()
	n, err := note.Parse("n.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return n
}

func apply(state *note.State, text string) *note.State {
	GinkgoHelper()
	next, err := state.Apply(parse(text), note.ApplyOptions{Base: state.Revision, Now: now})
	Expect(err).NotTo(HaveOccurred())
	return next
}

const first = `id = "first"
[service.kasir]
timeout = "1s"
[service.grosir]
[upstream.kasir-1]
service = "kasir"
`

var _ = DescribeTable("refuses an invalid note and reports the line",
	func(text, message string) {
		_, err := note.Parse("n.toml", []byte(text))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
	Entry("no id", "[service.a]\n", `n.toml:1: invalid: id "" is not in kebab case`),
	Entry("no service or upstream", "id = \"x\"\n", "lists no service and no upstream"),
	Entry("unknown key", "id = \"x\"\n[service.a]\ncolour = 3\n", `n.toml:3: unknown key: key "service.a.colour" does not exist`),
	Entry("bad timeout", "id = \"x\"\n[service.a]\n\ntimeout = \"soon\"\n", `n.toml:4: invalid: timeout "soon" is not a duration`),
	Entry("negative slots", "id = \"x\"\n[service.a]\nslots = -1\n", "n.toml:3: invalid: slots -1 is not between 1 and 1024"),
	Entry("bad preference", "id = \"x\"\n[service.a]\npreference = \"near\"\n", `n.toml:3: invalid: preference "near"`),
	Entry("bad share", "id = \"x\"\n[service.a]\nretry-share = 2.0\n", "n.toml:3: invalid: retry-share 2 is not between 0 and 1"),
	Entry("upstream without service", "id = \"x\"\n[upstream.a]\nslots = 1\n", `n.toml:2: invalid: upstream "a" names no service`),
	Entry("wrong type", "id = \"x\"\n[service.a]\nslots = \"many\"\n", "n.toml:3: syntax"),
	Entry("syntax", "id = \"x\n", "n.toml:1: syntax"),
)

var _ = Describe("a state", func() {
	It("contains the entries of its notes", func() {
		state := apply(&note.State{}, first)
		Expect(state.Revision).To(Equal(uint64(1)))
		service, ok := state.Service("kasir")
		Expect(ok).To(BeTrue())
		Expect(service.Service.Timeout).To(Equal(time.Second))
		Expect(service.ShardMaps).To(HaveLen(1))
		Expect(service.ShardMaps[0].Upstreams).To(Equal([]string{"kasir-1"}))
	})

	It("applies a note once", func() {
		state := apply(&note.State{}, first)
		Expect(apply(state, first)).To(BeIdenticalTo(state))
		_, err := state.Apply(parse("id = \"first\"\n[service.kasir]\n"), note.ApplyOptions{Base: 1, Now: now})
		Expect(err).To(MatchError(ContainSubstring(`note "first" was published with another content`)))
	})

	It("rebases a note on unchanged entries and refuses one on changed entries", func() {
		state := apply(&note.State{}, first)
		second := apply(state, "id = \"second\"\n[service.kasir]\ntimeout = \"2s\"\n")
		_, err := second.Apply(parse("id = \"third\"\n[service.kasir]\n"), note.ApplyOptions{Base: 1, Now: now})
		Expect(err).To(MatchError(ContainSubstring(`service "kasir" was changed by revision 2, after revision 1`)))
		third, err := second.Apply(parse("id = \"third\"\n[service.grosir]\nslots = 4\n"), note.ApplyOptions{Base: 1, Now: now})
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Revision).To(Equal(uint64(3)))
	})

	It("withdraws a note at a higher revision", func() {
		state := apply(&note.State{}, first)
		second := apply(state, "id = \"second\"\n[service.kasir]\ntimeout = \"2s\"\n[service.lilin]\n")
		third, err := second.Withdraw("second", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Revision).To(Equal(uint64(3)))
		service, _ := third.Service("kasir")
		Expect(service.Service.Timeout).To(Equal(time.Second))
		_, ok := third.Service("lilin")
		Expect(ok).To(BeFalse())
		Expect(third.Withdraw("second", now)).To(BeIdenticalTo(third))
	})

	It("does not withdraw an entry that a later note changed", func() {
		state := apply(apply(&note.State{}, first), "id = \"second\"\n[service.kasir]\ntimeout = \"2s\"\n")
		state = apply(state, "id = \"third\"\n[service.kasir]\ntimeout = \"3s\"\n")
		_, err := state.Withdraw("second", now)
		Expect(err).To(MatchError(ContainSubstring(`service "kasir" was changed by revision 3 after note "second"`)))
	})

	It("amends a note in one revision", func() {
		state := apply(apply(&note.State{}, first), "id = \"second\"\n[service.kasir]\ntimeout = \"2s\"\n[service.lilin]\n")
		amended, err := state.Apply(parse("id = \"second-amended\"\n[service.lilin]\nslots = 3\n"),
			note.ApplyOptions{Base: state.Revision, Now: now, Amends: "second"})
		Expect(err).NotTo(HaveOccurred())
		Expect(amended.Revision).To(Equal(uint64(3)))
		kasir, _ := amended.Service("kasir")
		Expect(kasir.Service.Timeout).To(Equal(time.Second))
		lilin, ok := amended.Service("lilin")
		Expect(ok).To(BeTrue())
		Expect(lilin.Service.Slots).To(Equal(3))
	})

	It("refuses an upstream of a service that is withdrawn", func() {
		state := apply(&note.State{}, first)
		_, err := state.Apply(parse("id = \"x\"\n[service.kasir]\nwithdrawn = true\n"), note.ApplyOptions{Base: 1, Now: now})
		Expect(err).To(MatchError(ContainSubstring(`service "kasir" of upstream "kasir-1" does not exist`)))
	})

	It("assigns keys by a new list of upstreams only after every granted lease expires", func() {
		state := apply(&note.State{}, first)
		state = apply(state, "id = \"second\"\n[upstream.kasir-2]\nservice = \"kasir\"\n")
		service, _ := state.Service("kasir")
		Expect(service.ShardMaps).To(HaveLen(2))
		Expect(service.ShardMaps[1].From).To(BeTemporally(">", now.Add(2*time.Minute)))
	})

	It("is unchanged by encoding and decoding", func() {
		state := apply(&note.State{}, first)
		data, err := state.Encode()
		Expect(err).NotTo(HaveOccurred())
		decoded, err := note.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(note.Diff(state, decoded)).To(BeEmpty())
		Expect(apply(decoded, first)).To(BeIdenticalTo(decoded))
	})

	It("does not withdraw a note older than the last 64", func() {
		state := apply(&note.State{}, first)
		for i := range 70 {
			state = apply(state, fmt.Sprintf("id = \"n-%d\"\n[service.s-%d]\n", i, i))
		}
		_, err := state.Withdraw("n-0", now)
		Expect(err).To(MatchError(ContainSubstring(`note "n-0" is too old to withdraw`)))
	})
})

var _ = Describe("the state in force", func() {
	It("never adopts a lower or equal revision", func() {
		f := note.NewInForce()
		Expect(f.Adopt(&note.State{Revision: 3})).To(BeTrue())
		Expect(f.Adopt(&note.State{Revision: 2})).To(BeFalse())
		Expect(f.Adopt(&note.State{Revision: 3})).To(BeFalse())
		Expect(f.Revision()).To(Equal(uint64(3)))
	})

	It("is confirmed only at its own revision and a later time", func() {
		f := note.NewInForce()
		f.Adopt(&note.State{Revision: 3})
		f.Confirm(2, now)
		Expect(f.Confirmed().IsZero()).To(BeTrue())
		f.Confirm(3, now)
		f.Confirm(3, now.Add(-time.Second))
		Expect(f.Confirmed()).To(Equal(now))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(first))
	f.Fuzz(func(_ *testing.T, data []byte) {
		n, err := note.Parse("n.toml", data)
		if err != nil {
			return
		}
		_, _ = (&note.State{}).Apply(n, note.ApplyOptions{Now: now})
	})
}

func FuzzDecode(f *testing.F) {
	state, err := (&note.State{}).Apply(mustParse(first), note.ApplyOptions{Now: now})
	if err != nil {
		f.Fatal(err)
	}
	data, err := state.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = note.Decode(data) })
}

func mustParse(text string) *note.Note {
	n, err := note.Parse("n.toml", []byte(text))
	if err != nil {
		panic(err)
	}
	return n
}
