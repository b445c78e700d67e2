package organisation_test

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/organisation"
)

func newOrganisation(t testing.TB, name string, keys ...string) *organisation.Organisation {
	t.Helper()
	o, err := organisation.New(name, keys)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func kindOf(err error) organisation.Kind {
	var e *organisation.Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return ""
}

func TestADirectoryFindsOrganisationsByKeyAndName(t *testing.T) {
	g := NewWithT(t)
	d, err := organisation.NewDirectory([]*organisation.Organisation{newOrganisation(t, "a", "k1", "k2", "k1"), newOrganisation(t, "b", "K1")})
	g.Expect(err).NotTo(HaveOccurred())
	for key, name := range map[string]string{"k1": "a", "k2": "a", "K1": "b"} {
		o, ok := d.Lookup(key)
		g.Expect(ok).To(BeTrue(), key)
		g.Expect(o.Name()).To(Equal(name))
	}
	for _, key := range []string{"", "k", "k1 ", "k11", "a"} {
		_, ok := d.Lookup(key)
		g.Expect(ok).To(BeFalse(), key)
	}
	_, ok := d.Named("b")
	g.Expect(ok).To(BeTrue())
	g.Expect(d.Names()).To(Equal([]string{"a", "b"}))
	g.Expect(d.Len()).To(Equal(2))
}

func TestANilDirectoryIsEmpty(t *testing.T) {
	g := NewWithT(t)
	var d *organisation.Directory
	_, byKey := d.Lookup("k")
	_, byName := d.Named("a")
	g.Expect([]bool{byKey, byName}).To(Equal([]bool{false, false}))
	g.Expect(d.Names()).To(BeEmpty())
	g.Expect(d.Len()).To(BeZero())
}

func TestOrganisationsThatCannotBeToldApartAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, organisations := range [][]*organisation.Organisation{
		{newOrganisation(t, "a", "k1"), newOrganisation(t, "a", "k2")},
		{newOrganisation(t, "a", "k1"), newOrganisation(t, "b", "k2", "k1")},
	} {
		_, err := organisation.NewDirectory(organisations)
		g.Expect(kindOf(err)).To(Equal(organisation.KindDuplicate))
		g.Expect(err.Error()).NotTo(ContainSubstring("k1"), "an error never tells a key")
	}
}

func TestInvalidOrganisationsAreRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := organisation.New("", []string{"k"})
	g.Expect(kindOf(err)).To(Equal(organisation.KindInvalid))
	_, err = organisation.New("a", []string{"k", ""})
	g.Expect(kindOf(err)).To(Equal(organisation.KindInvalid))
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		for _, quota := range []organisation.Quota{{Rate: bad}, {Rate: 1, Burst: bad}} {
			_, err := organisation.New("a", []string{"k"}, organisation.WithQuota(quota))
			g.Expect(kindOf(err)).To(Equal(organisation.KindInvalid), fmt.Sprint(quota))
		}
	}
}

func TestThePriorityGoesBeforeThatOfTheRoute(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newOrganisation(t, "a", "k").Priority(3)).To(Equal(3))
	o, err := organisation.New("a", []string{"k"}, organisation.WithPriority(0), organisation.WithRegions("north"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Priority(3)).To(Equal(0))
	g.Expect(o.Regions()).To(Equal([]string{"north"}))
	g.Expect(o.Quota().Limited()).To(BeFalse())
}

// manyKeys is the number of keys in a directory at the two-year size.
const manyKeys = 100_000

func largeDirectory(t testing.TB) *organisation.Directory {
	t.Helper()
	organisations := make([]*organisation.Organisation, 0, manyKeys/100)
	for i := range manyKeys / 100 {
		keys := make([]string, 100)
		for k := range keys {
			keys[k] = fmt.Sprintf("key-%d-%d", i, k)
		}
		organisations = append(organisations, newOrganisation(t, fmt.Sprint("o", i), keys...))
	}
	d, err := organisation.NewDirectory(organisations)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func BenchmarkLookup(b *testing.B) {
	d := largeDirectory(b)
	for _, c := range []struct{ name, key string }{{"known", "key-500-50"}, {"unknown", "key-500-5x"}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				d.Lookup(c.key)
			}
		})
	}
}

func BenchmarkNewDirectory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var d *organisation.Directory
	for b.Loop() {
		d = largeDirectory(b)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/manyKeys, "live-bytes/key")
	runtime.KeepAlive(d)
}
