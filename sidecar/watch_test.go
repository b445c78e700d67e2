package sidecar_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

// setBack is a clock whose time of day is an hour behind.
type setBack struct{ clock.System }

// Now implements sidecar.Clock.
func (c setBack) Now() time.Time { return c.System.Now().Add(-time.Hour) }

var _ = Describe("the store", func() {
	watching := func(hosts []*host) (watching, others []*host) {
		for _, h := range hosts {
			if h.sidecar.Watches() {
				watching = append(watching, h)
			} else {
				others = append(others, h)
			}
		}
		return watching, others
	}

	It("is watched by some nodes, and by others when those are lost", func() {
		w := newWorld()
		w.publish(1)
		for range 12 {
			w.add()
		}
		count := func() int {
			some, _ := watching(w.hosts)
			return len(some)
		}
		Eventually(count).Should(Equal(8))
		for _, h := range w.hosts {
			Eventually(h.metricsRevision).Should(Equal("1"))
		}
		some, others := watching(w.hosts)
		w.publish(2)
		for _, h := range others {
			Eventually(h.metricsRevision).Should(Equal("2"))
		}
		for _, h := range some {
			h.sidecar.Kill()
		}
		w.publish(3)
		for _, h := range others {
			Eventually(h.metricsRevision).Should(Equal("3"))
		}
	})

	It("keeps the entry of a node that is started again", func() {
		w, a, b := pair()
		_, writes, _ := w.store.Calls()
		b.sidecar.Kill()
		b.start()
		b.beat("ready")
		Eventually(b.sidecar.Ready).Should(BeTrue())
		w.reaches(b, "i-stock-1")
		w.knows(a, b)
		_, after, _ := w.store.Calls()
		Expect(after).To(Equal(writes))
	})

	It("makes a node that is started again later than before, whatever its clock says", func() {
		w, a, b := pair()
		b.sidecar.Kill()
		Eventually(func() bool { return a.sidecar.UpstreamAvailable(b.name) }).Should(BeFalse())
		b.start(sidecar.WithClock(setBack{}))
		b.beat("ready")
		w.knows(a, b)
	})

	DescribeTable("hands out a large configuration in place of the nodes, whose links may be slow, if it answers",
		func(deaf func(*platform.Client) sidecar.Store, source string) {
			w := newWorld()
			w.publish(1)
			a := w.add()
			logs := &locked{w: &bytes.Buffer{}}
			store := deaf(platform.NewClient(strings.TrimPrefix(w.server.URL, "http://")))
			b := w.add(sidecar.WithStore(store), sidecar.WithLogger(log.NewJSONLogger(logs)))
			Eventually(a.metricsRevision).Should(Equal("1"))
			Eventually(b.metricsRevision).Should(Equal("1"))
			w.publishLarge(5)
			Eventually(b.metricsRevision).Should(Equal("5"))
			Eventually(logs.text).Should(MatchRegexp(`"event":"configuration","host":"stock-2","level":"info","revision":5,"source":"` + source + `"`))
		},
		Entry("it answers reads", func(c *platform.Client) sidecar.Store { return &deafStore{Client: c} }, "store"),
		Entry("it answers nothing", func(c *platform.Client) sidecar.Store { return &muteStore{deafStore{Client: c}} }, "stock-1"),
	)
})

// muteStore answers no watch and no read of a key.
type muteStore struct {
	deafStore
}

func (s *muteStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.NewError("get", platform.KindUnavailable, "", nil)
}

// locked is a buffer for several goroutines.
type locked struct {
	mu sync.Mutex
	w  *bytes.Buffer
}

func (l *locked) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(data)
}

func (l *locked) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.String()
}

// publishLarge publishes a configuration of many routes.
func (w *world) publishLarge(version int) {
	text := fmt.Sprintf(configuration, version)
	const one = `{"type_url":"routes","metadata":{"name":"extra-%d"},"spec":{"host":"x","prefix":"/extra-%d/","type":"safe","timeout_ms":20000,"goal_ms":10000,"priority":2,"attempts":2,"service":"stock"}},`
	var extra strings.Builder
	for i := range 1700 {
		_, _ = fmt.Fprintf(&extra, one, i, i)
	}
	w.store.Store("op/config", []byte(strings.Replace(text, `"resources":[`, `"resources":[`+extra.String(), 1)))
}
