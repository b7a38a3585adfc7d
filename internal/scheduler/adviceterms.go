package scheduler

import "time"

// AdviceTerms returns the largest number of VMs that a request to an adviser names, and what is
// subtracted from the validity of its tickets.
func AdviceTerms() (maxVMs int, margin time.Duration) { return maxAdviceVMs, ticketMargin }
