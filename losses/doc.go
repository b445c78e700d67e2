// Package losses prints how much of the worth owed was lost on a day run by the
// bench, and why. The bench is the users' simulator of days of a deployment. The
// worth of a day is the payoff for requests served in time less the prices of
// resources; the worth owed is what the day's requests would pay if all were
// served in time.
//
// The bench's report of a day holds its worth, the loss by part of the score and
// by price, and how many requests of each class were late, refused or failed. The
// nodes' logs hold the attempts of single requests, and what was transferred
// between failure domains. The package reads both and
// compares several days in one table, whose sections list the largest losses
// first:
//
//	day, err := losses.ReadDay("scale-1.json", "scale-1.log")
//	...
//	err = losses.Print(os.Stdout, []*losses.Day{day})
//
// The logs hold every failed request but only some of the late ones, so causes are
// given as shares of the requests found there.
package losses
