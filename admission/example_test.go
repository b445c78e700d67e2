package admission_test

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/admission"
)

func ExampleGate() {
	now := time.Unix(0, 0)
	gate := admission.NewGate(1)
	request := admission.Request{Deadline: now.Add(time.Second)}
	first, _ := gate.Admit(now, request)
	second, _ := gate.Admit(now, request)
	first.End(now.Add(10*time.Millisecond), true)
	<-second.Ready()
	fmt.Println(second.Refusal() == nil, gate.Load(now).Running)
	// Output: true 1
}
