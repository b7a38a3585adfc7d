// Package fairshare decides which users of a scarce resource have had more than their part of it,
// and who has waited for longer than a bound. It holds no clock and does no I/O.
//
// The part of a user is its max-min fair share of what all users of its priority were given of
// late: users that ask for less than an equal share get all that they ask for, and the rest is
// divided equally among the others.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// User is a queue's callers in one availability zone. Users of different priority do not compete.
type User struct {
	Priority int
	Queue    string
	// Zone is the zone in which jobs were accepted, "" if unknown.
	Zone string
}

// Ledger holds what each user was given, as an amount that decays with time.
type Ledger struct {
	window time.Duration
	given  map[User]decaying
}

type decaying struct {
	amount float64
	at     time.Duration
}

// NewLedger returns an empty ledger that forgets with the time constant window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, given: map[User]decaying{}}
}

// Charge adds an amount of the resource that a user is given at time now.
func (l *Ledger) Charge(now time.Duration, user User, amount float64) {
	l.given[user] = decaying{amount: l.Given(now, user) + amount, at: now}
}

// Given returns what a user was given of late.
func (l *Ledger) Given(now time.Duration, user User) float64 {
	d := l.given[user]
	return d.amount * math.Exp(-float64(max(now-d.at, 0))/float64(l.window))
}

// forgottenAmount is the amount below which a user without demand is forgotten.
const forgottenAmount = 1e-6

// Share is what a user was given, what it waits for and its part, in the unit of the charges.
type Share struct {
	User
	Given, Waiting, Part float64
	// Over is set if the user was given more than its part while another user that was given
	// less than its own waits.
	Over bool
}

// Shares returns the shares of all users, ordered by priority, queue and zone. waiting is what
// each user asks for besides what it was given. A user exceeds its part only by more than
// tolerance, a fraction of the part. Users of unknown zone are never over their part.
func (l *Ledger) Shares(now time.Duration, waiting map[User]float64, tolerance float64) []Share {
	var list []Share
	for user := range l.given {
		given := l.Given(now, user)
		if given < forgottenAmount && waiting[user] == 0 {
			delete(l.given, user)
			continue
		}
		list = append(list, Share{User: user, Given: given, Waiting: waiting[user]})
	}
	for user, amount := range waiting {
		if _, known := l.given[user]; !known {
			list = append(list, Share{User: user, Waiting: amount})
		}
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Zone, b.Zone))
	})
	for first := 0; first < len(list); {
		end := first
		for end < len(list) && list[end].Priority == list[first].Priority {
			end++
		}
		divide(list[first:end], tolerance)
		first = end
	}
	return list
}

// divide sets the parts of users of one priority, and who is over.
func divide(users []Share, tolerance float64) {
	capacity := 0.0
	order := make([]int, len(users))
	for i := range users {
		capacity += users[i].Given
		order[i] = i
	}
	demand := func(i int) float64 { return users[i].Given + users[i].Waiting }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demand(a), demand(b)) })
	for n, i := range order {
		users[i].Part = min(demand(i), capacity/float64(len(order)-n))
		capacity -= users[i].Part
	}
	deprived := false
	for i := range users {
		deprived = deprived || users[i].Waiting > 0 && users[i].Given < users[i].Part
	}
	for i := range users {
		users[i].Over = deprived && users[i].Zone != "" && users[i].Given > (1+tolerance)*users[i].Part
	}
}

// IsOverdue reports whether a job with no running task has waited beyond a bound. A bound of 0 is
// none.
func IsOverdue(waited, bound time.Duration, running int) bool {
	return bound > 0 && running == 0 && waited > bound
}
