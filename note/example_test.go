package note_test

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/note"
)

func ExampleState() {
	n, err := note.Parse("open.toml", []byte("id = \"open\"\n[service.kasir]\ntimeout = \"1s\"\n"))
	if err != nil {
		panic(err)
	}
	before := &note.State{}
	after, err := before.Apply(n, note.ApplyOptions{Base: before.Revision, Now: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	fmt.Println(after.Revision, note.Diff(before, after))
	// Output: 1 [+ service kasir]
}
