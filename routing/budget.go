package routing

import "time"

const (
	// RetryBudgetWindow is the sliding window in which requests and retries are
	// counted.
	RetryBudgetWindow = 10 * time.Second
	// MinRetriesPerWindow is the number of retries per window that are permitted
	// regardless of the number of requests.
	MinRetriesPerWindow = 10
	budgetBuckets       = 10
	budgetBucketLength  = RetryBudgetWindow / budgetBuckets
)

// RetryBudget limits retries to MinRetriesPerWindow plus a share of the requests in
// the last RetryBudgetWindow, so that retries don't multiply the load on the
// remaining upstreams after a failure.
type RetryBudget struct {
	percent     int
	requests    [budgetBuckets]int
	retries     [budgetBuckets]int
	currentStep int64
}

// NewRetryBudget returns a budget that permits retries for percent of the requests.
func NewRetryBudget(percent int) *RetryBudget { return &RetryBudget{percent: percent} }

// SetPercent changes the share of requests that may be retried.
func (b *RetryBudget) SetPercent(percent int) { b.percent = percent }

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// TryRetry takes one retry from the budget, or returns false if the budget is
// exhausted.
func (b *RetryBudget) TryRetry(now time.Duration) bool {
	bucket := b.advance(now)
	if b.Remaining(now) <= 0 {
		return false
	}
	b.retries[bucket]++
	return true
}

// Remaining returns the number of retries that the budget still permits.
func (b *RetryBudget) Remaining(now time.Duration) int {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests*b.percent/100 + MinRetriesPerWindow - retries
}

// advance clears the buckets that left the window and returns the current one.
func (b *RetryBudget) advance(now time.Duration) int {
	step := int64(now / budgetBucketLength)
	for b.currentStep < step {
		b.currentStep = max(b.currentStep+1, step-budgetBuckets+1)
		i := b.currentStep % budgetBuckets
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(step % budgetBuckets)
}
