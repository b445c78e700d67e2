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
	updates := one.Merge(now, two.Snapshot().Members())
	fmt.Println(len(updates), "update for", len(one.Snapshot().Neighbours(one.Self())), "neighbour")
	// Output: 1 update for 1 neighbour
}
