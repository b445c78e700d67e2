package idempotency_test

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/idempotency"
)

func ExampleRecords() {
	records := idempotency.NewRecords("kasir-1", "incarnation-1")
	key, err := idempotency.Mint("kasir-1", "incarnation-1")
	if err != nil {
		panic(err)
	}
	now := time.Now()
	request := idempotency.Request{Key: key, Received: now}
	record, claimed, _ := records.Claim(now, request)
	fmt.Println("claimed:", claimed)
	record.SetAnswered(now, &idempotency.Answer{Status: 200, Body: []byte("paid")})
	record, claimed, _ = records.Claim(now, request)
	answer, _ := record.Result()
	fmt.Println("claimed:", claimed, "answer:", string(answer.Body))
	// Output:
	// claimed: true
	// claimed: false answer: paid
}
