// Package echo bounds from one side when another process sent a message, by the clock of the receiver
// alone: each message is numbered and returns the latest number that its sender has received. A message
// that returns a number was sent after that number, however long it has waited since, in the network or
// in the socket of a process that stood still.
package echo

import "time"

// remembered is how many of the latest numbers a process can tell the time of.
const remembered = 64

// Rounds numbers the messages of a process. The messages of one round share a number. It is not safe for
// concurrent use.
type Rounds struct {
	number uint16
	// began holds the start of the latest rounds, by number.
	began [remembered]round
}

type round struct {
	number uint16
	at     time.Time
}

// NewRounds returns rounds whose numbers follow the given one. It differs between the processes of a VM,
// so that numbers of a former one are not taken for those of its successor.
func NewRounds(number uint16) *Rounds {
	return &Rounds{number: number}
}

// Begin returns the number of a round that begins now, before its first message is sent. It is never 0.
func (r *Rounds) Begin(now time.Time) uint16 {
	r.number++
	if r.number == 0 {
		r.number++
	}
	r.began[r.number%remembered] = round{r.number, now}
	return r.number
}

// BeganAt returns when the round with the given number began; false for a number that is too old, or of
// another process.
func (r *Rounds) BeganAt(number uint16) (time.Time, bool) {
	b := r.began[number%remembered]
	return b.at, number != 0 && b.number == number
}
