// Package losses tables what a played day lost of its worth, and why.
//
// A report of the bench says how much the day was worth, which part of its score
// and which price took how much, and how many requests of each kind were late or
// not served. The nodes' logs say what happened to single requests. The package
// reads both and puts several days side by side, so that the largest loss is seen
// at once:
//
//	day, err := losses.ReadDay("scale-1.json", "scale-1.log")
//	...
//	err = losses.Print(os.Stdout, []*losses.Day{day})
//
// The log holds every failed request but only some of the late ones, so causes
// are given as shares of the lines that were found.
package losses
