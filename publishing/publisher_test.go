package publishing_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/publishing"
)

func TestPublishing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "publishing")
}

// faultyStore is a store whose calls fail at random, and whose writes take
// effect while their responses are lost at random.
type faultyStore struct {
	mu        sync.Mutex
	rng       *rand.Rand
	faultRate float64
	value     []byte
	version   uint64
}

func (s *faultyStore) Get(context.Context, string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.faultRate {
		return platform.Entry{}, fault(platform.KindUnavailable)
	}
	return platform.NewEntry(s.value, s.version), nil
}

func (s *faultyStore) Put(_ context.Context, _ string, value []byte, previous platform.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	draw := s.rng.Float64()
	if draw < s.faultRate/2 {
		return fault(platform.KindUnknown) // the request was lost
	}
	if s.version != previous.Version() {
		return fault(platform.KindConflict)
	}
	s.version++
	s.value = value
	if draw < s.faultRate {
		return fault(platform.KindUnknown) // the response was lost
	}
	return nil
}

func fault(kind platform.Kind) error {
	return platform.NewError("test", kind, publishing.ConfigurationKey, nil)
}

// instantClock never waits.
type instantClock struct{}

func (instantClock) Now() time.Time { return time.UnixMilli(1_800_000_000_000) }
func (instantClock) After(time.Duration) <-chan time.Time {
	ready := make(chan time.Time, 1)
	ready <- time.Time{}
	return ready
}

// modelState is the state of the model: a revision, and the revision that last
// changed each of two entries.
type modelState struct {
	revision uint64
	changed  [2]uint64
}

type publishInput struct {
	entry int
	base  uint64
}

type publishOutput struct {
	kind     publishing.Kind // "" when published
	revision uint64
}

func publishModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{modelState{}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(modelState), input.(publishInput), output.(publishOutput)
			conflict := s.changed[in.entry] > in.base
			next := s
			next.revision++
			next.changed[in.entry] = next.revision
			switch {
			case out.kind == publishing.KindRefused && conflict:
				return []any{s}
			case out.kind == publishing.KindUnavailable:
				return []any{s}
			case out.kind == publishing.KindUnknown && conflict:
				return []any{s}
			case out.kind == publishing.KindUnknown:
				return []any{s, next}
			case out.kind == "" && !conflict && out.revision == next.revision:
				return []any{next}
			}
			return nil
		},
	}
	return model.ToModel()
}

// publishAll publishes concurrently for three operators and returns their
// operations.
func publishAll(seed uint64, faultRate float64) []porcupine.Operation {
	store := &faultyStore{rng: rand.New(rand.NewPCG(seed, seed)), faultRate: faultRate}
	var mu sync.Mutex
	var operations []porcupine.Operation
	var group sync.WaitGroup
	start := time.Now()
	for operator := range 3 {
		group.Add(1)
		go func() {
			defer group.Done()
			publisher := publishing.New(store, instantClock{})
			base := uint64(0)
			for i := range 4 {
				in := publishInput{entry: (operator + i) % 2, base: base}
				n, err := note.Parse("n.toml", fmt.Appendf(nil, "id = \"o-%d-%d\"\n[service.s-%d]\n", operator, i, in.entry))
				if err != nil {
					panic(err)
				}
				called := time.Since(start)
				state, err := publisher.Publish(context.Background(), n, base, "")
				out := publishOutput{}
				if err != nil {
					out.kind = err.(*publishing.Error).Kind()
				} else {
					applied, _ := state.Note(n.ID())
					out.revision = applied.Revision
					base = state.Revision
				}
				returned := time.Since(start)
				if out.kind == publishing.KindUnknown {
					// The write may take effect at any later time.
					returned = time.Hour
				}
				mu.Lock()
				operations = append(operations, porcupine.Operation{
					ClientId: operator*10 + i, Input: in, Output: out, Call: int64(called), Return: int64(returned),
				})
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	return operations
}

var _ = Describe("concurrent publishing", func() {
	It("is linearizable under lost responses and failed calls", func() {
		published, refused := 0, 0
		for seed := range uint64(200) {
			operations := publishAll(seed, 0.2)
			Expect(porcupine.CheckOperations(publishModel(), operations)).To(BeTrue(), "seed %d: %v", seed, operations)
			for _, operation := range operations {
				switch operation.Output.(publishOutput).kind {
				case "":
					published++
				case publishing.KindRefused:
					refused++
				}
			}
		}
		Expect(published).To(BeNumerically(">", 400))
		Expect(refused).To(BeNumerically(">", 10))
	})

	It("reports that nothing was published while the platform is down", func() {
		store := &faultyStore{rng: rand.New(rand.NewPCG(1, 1)), faultRate: 1}
		n, err := note.Parse("n.toml", []byte("id = \"x\"\n[service.a]\n"))
		Expect(err).NotTo(HaveOccurred())
		_, err = publishing.New(store, instantClock{}).Publish(context.Background(), n, 0, "")
		Expect(err.(*publishing.Error).Kind()).To(Equal(publishing.KindUnavailable))
	})
})
