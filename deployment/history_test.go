package deployment_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/standin"
	"github.com/banyancross/banyancross/upstream"
)

// send is what a caller saw of one send of a request.
type send struct {
	outcome  string
	replayed bool
	own      bool
}

// callers sends payments, each several times to random nodes, and records what
// it sees.
type callers struct {
	fleet   *deployment.Deployment
	client  *http.Client
	begin   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
	notRun  map[string]bool
	foreign []string
}

func newCallers(fleet *deployment.Deployment) *callers {
	return &callers{
		fleet: fleet, begin: time.Now(), notRun: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second},
	}
}

// key returns a caller's own key, or a ticket from a node.
func (c *callers) key(rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		id, err := uuid.NewV7()
		if err != nil {
			panic(err)
		}
		return id.String()
	}
	response, err := c.client.Post("http://"+c.node(rng)+entry.TicketPath+"kasir", "", nil)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	return response.Header.Get("Idempotency-Key")
}

func (c *callers) node(rng *rand.Rand) string {
	return c.fleet.Members[rng.IntN(len(c.fleet.Members))].Settings.CallerAddress()
}

// pay sends one payment until it is answered or its sends are used up.
func (c *callers) pay(client int, rng *rand.Rand) {
	key := c.key(rng)
	if key == "" {
		return
	}
	id := uuid.NewString()
	for range 3 {
		called := time.Since(c.begin)
		seen := c.send(rng, key, id)
		returned := time.Since(c.begin)
		if seen.outcome == "" {
			// Nothing was seen, so the send may still take effect.
			returned = time.Hour
		}
		c.mu.Lock()
		c.history = append(c.history, porcupine.Operation{
			ClientId: client, Input: id, Output: seen, Call: int64(called), Return: int64(returned),
		})
		c.notRun[id] = seen.outcome == "not-run"
		if seen.outcome == "answered" && !seen.own {
			c.foreign = append(c.foreign, id)
		}
		c.mu.Unlock()
		if seen.outcome == "answered" && rng.IntN(2) == 0 {
			return
		}
	}
}

func (c *callers) send(rng *rand.Rand, key, id string) send {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(1500))*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node(rng)+"/kasir/pay", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set(standin.RequestIDHeader, id)
	response, err := c.client.Do(request)
	if err != nil {
		return send{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return send{}
	}
	return send{
		outcome:  response.Header.Get(entry.OutcomeHeader),
		replayed: response.Header.Get(entry.ReplayedHeader) != "",
		own: response.Header.Get(standin.RequestIDHeader) == id &&
			(response.StatusCode != http.StatusOK || strings.Contains(string(body), id)),
	}
}

// paymentModel says that a payment runs at most once: an answer that is not
// repeated is the one run, a repeated one follows it, and not-run excludes an
// earlier run.
func paymentModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byID := map[string][]porcupine.Operation{}
			for _, operation := range history {
				id := operation.Input.(string)
				byID[id] = append(byID[id], operation)
			}
			var parts [][]porcupine.Operation
			for _, part := range byID {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{false} },
		Step: func(state, _, output any) []any {
			ran, seen := state.(bool), output.(send)
			switch {
			case seen.outcome == "answered" && seen.replayed && ran:
				return []any{true}
			case seen.outcome == "answered" && !seen.replayed && !ran:
				return []any{true}
			case seen.outcome == "not-run" && !ran:
				return []any{false}
			case seen.outcome == "unknown" || seen.outcome == "":
				return []any{ran, true}
			}
			return nil
		},
	}
	return model.ToModel()
}

// fault is something that goes wrong while payments are made.
type fault struct {
	name string
	do   func(fleet *deployment.Deployment, member *deployment.Member)
}

var faults = []fault{
	{"straggler", func(_ *deployment.Deployment, m *deployment.Member) { m.Upstream.SetServiceTimeFactor(30) }},
	{"drain", func(_ *deployment.Deployment, m *deployment.Member) { m.Upstream.SetState(upstream.StateDraining) }},
	{"fail-fast", func(_ *deployment.Deployment, m *deployment.Member) { m.Upstream.SetRejectAll(true) }},
	{"lost answer", func(f *deployment.Deployment, _ *deployment.Member) { f.Platform.DropAnswers(5) }},
	{"platform down", func(f *deployment.Deployment, _ *deployment.Member) { f.Platform.SetDown(true) }},
	{"cut", func(f *deployment.Deployment, m *deployment.Member) { f.Network.SetPartitioned(m.Domain, true) }},
	{"killed", func(f *deployment.Deployment, m *deployment.Member) {
		m.Node.Kill()
		_ = f.StartNode(m)
	}},
	{"server crash", func(_ *deployment.Deployment, m *deployment.Member) { m.Upstream.CrashAndRestart() }},
}

var _ = Describe("payments under faults", func() {
	for i, first := range faults {
		second := faults[(i+3)%len(faults)]
		It(fmt.Sprintf("run at most once with %s, then %s too", first.name, second.name), func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			shape := deployment.Paguyuban()
			shape.ServiceTime = 5 * time.Millisecond
			shape.Services = []deployment.Service{{Name: "kasir", Upstreams: 5}}
			fleet, err := deployment.Start(ctx, shape, deployment.WithSeed(uint64(i)))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(fleet.Close)
			c := newCallers(fleet)
			DeferCleanup(c.client.CloseIdleConnections)
			c.run(uint64(i), first, second)
			c.check()
		})
	}
})

// run makes 60 payments from six callers, with the faults after a third and
// two thirds of them.
func (c *callers) run(seed uint64, first, second fault) {
	var paid sync.WaitGroup
	for client := range 6 {
		paid.Add(1)
		go func() {
			defer paid.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for i := range 10 {
				if client == 0 && i == 3 {
					first.do(c.fleet, c.fleet.Members[0])
				}
				if client == 0 && i == 6 {
					second.do(c.fleet, c.fleet.Members[1])
				}
				c.pay(client, rng)
			}
		}()
	}
	paid.Wait()
}

// check compares what the callers saw with what the backend servers ran.
func (c *callers) check() {
	GinkgoHelper()
	Expect(c.foreign).To(BeEmpty(), "answers of other requests")
	model := paymentModel()
	for _, part := range model.Partition(c.history) {
		Expect(porcupine.CheckOperations(model, part)).To(BeTrue(), "history of one payment: %+v", part)
	}
	runs := map[string]int{}
	for _, member := range c.fleet.Members {
		for id, count := range member.Upstream.Runs() {
			runs[id] += count
		}
	}
	Expect(runs).NotTo(BeEmpty())
	for id, count := range runs {
		Expect(count).To(Equal(1), "payment %s ran %d times", id, count)
		Expect(c.notRun[id]).To(BeFalse(), "payment %s ran though its last word was not-run", id)
	}
}
