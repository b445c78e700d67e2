package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyancross/banyancross/membership"
)

func ExampleView() {
	now := time.Unix(0, 0)
	one := membership.NewView(now, membership.Member{Host: "one", Incarnation: "a", FailureDomain: "x"}, rand.New(rand.NewPCG(1, 1)))
	two := membership.NewView(now, membership.Member{Host: "two", Incarnation: "b", FailureDomain: "x"}, rand.New(rand.NewPCG(2, 2)))
	news := one.Merge(now, two.Snapshot().Members())
	fmt.Println(len(news), "news for", len(one.Snapshot().Neighbours(one.Self())), "contact")
	// Output: 1 news for 1 contact
}
