package codec_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/codec"
)

func TestTimesKeepTheirNanoseconds(t *testing.T) {
	g := NewWithT(t)
	want := time.Unix(1_800_000_000, 123_456_789)
	data, err := codec.Marshal(want)
	g.Expect(err).NotTo(HaveOccurred())
	var found time.Time
	g.Expect(codec.Unmarshal(data, &found)).To(Succeed())
	g.Expect(found).To(BeTemporally("==", want))
}
