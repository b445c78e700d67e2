package idempotency_test

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/idempotency"
)

func ExampleRecords() {
	records := idempotency.NewRecords("kasir-1", "first-life")
	key, err := idempotency.Mint("kasir-1", "first-life")
	if err != nil {
		panic(err)
	}
	now := time.Now()
	request := idempotency.Request{Key: key, Received: now}
	record, mine, _ := records.Claim(now, request)
	fmt.Println("run it:", mine)
	record.SetAnswered(now, &idempotency.Answer{Status: 200, Body: []byte("paid")})
	record, mine, _ = records.Claim(now, request)
	answer, _ := record.Result()
	fmt.Println("run it:", mine, "answer:", string(answer.Body))
	// Output:
	// run it: true
	// run it: false answer: paid
}
