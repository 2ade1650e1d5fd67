package routing

import "time"

const (
	// BudgetWindow is the time over which requests are counted for the retry
	// budget.
	BudgetWindow = 10 * time.Second
	// BudgetFloor is the number of retries in a window that need no traffic.
	BudgetFloor   = 10
	budgetBuckets = 10
	budgetStep    = BudgetWindow / budgetBuckets
)

// Budget limits retries to a share of the requests of the last BudgetWindow, plus
// BudgetFloor, so that retries cannot multiply the load on what is left after a
// failure.
type Budget struct {
	percent  int
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	newest   int64
}

// NewBudget returns a budget with a share in percent.
func NewBudget(percent int) *Budget { return &Budget{percent: percent} }

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) { b.percent = percent }

// Request counts a request from a caller.
func (b *Budget) Request(now time.Duration) { b.requests[b.advance(now)]++ }

// Retry takes one retry from the budget, or returns false if it is used up.
func (b *Budget) Retry(now time.Duration) bool {
	bucket := b.advance(now)
	if b.Left(now) <= 0 {
		return false
	}
	b.retries[bucket]++
	return true
}

// Left returns the number of retries that the budget still permits.
func (b *Budget) Left(now time.Duration) int {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests*b.percent/100 + BudgetFloor - retries
}

func (b *Budget) advance(now time.Duration) int {
	step := int64(now / budgetStep)
	for b.newest < step {
		b.newest = max(b.newest+1, step-budgetBuckets+1)
		i := b.newest % budgetBuckets
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(step % budgetBuckets)
}
