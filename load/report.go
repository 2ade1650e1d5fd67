package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds.
const (
	lowestUS  = 1
	highestUS = 600_000_000
	digits    = 3
)

// recorder collects measurements of several senders.
type recorder struct {
	mu       sync.Mutex
	latency  map[string]*hdrhistogram.Histogram
	outcomes map[string]map[string]int64
}

func newRecorder() *recorder {
	return &recorder{latency: map[string]*hdrhistogram.Histogram{}, outcomes: map[string]map[string]int64{}}
}

func (r *recorder) add(kind, outcome string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare(kind)
	r.outcomes[kind][outcome]++
	// Values are clamped to the range, so recording cannot fail.
	_ = r.latency[kind].RecordValue(min(highestUS, max(lowestUS, took.Microseconds())))
}

func (r *recorder) prepare(kind string) {
	if r.latency[kind] == nil {
		r.latency[kind] = hdrhistogram.New(lowestUS, highestUS, digits)
		r.outcomes[kind] = map[string]int64{}
	}
}

// KindReport summarises one kind of request. Latencies are milliseconds from the
// intended start to the end of the answer, over all outcomes.
type KindReport struct {
	Kind     string           `json:"kind"`
	Count    int64            `json:"count"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50MS    float64          `json:"p50_ms"`
	P90MS    float64          `json:"p90_ms"`
	P99MS    float64          `json:"p99_ms"`
	P999MS   float64          `json:"p999_ms"`
	MaxMS    float64          `json:"max_ms"`
}

// Report summarises a run.
type Report struct {
	// Rate is the intended rate, Achieved the rate of answers, per second.
	Rate     float64      `json:"rate"`
	Achieved float64      `json:"achieved"`
	Seconds  float64      `json:"seconds"`
	Kinds    []KindReport `json:"kinds"`

	latency map[string]*hdrhistogram.Histogram
}

func newReport(o Options, took time.Duration, recorders []*recorder) *Report {
	all := newRecorder()
	for _, r := range recorders {
		all.merge(r)
	}
	report := &Report{Rate: o.Rate, Seconds: took.Seconds(), latency: all.latency}
	total := int64(0)
	for kind, h := range all.latency {
		total += h.TotalCount()
		report.Kinds = append(report.Kinds, KindReport{
			Kind: kind, Count: h.TotalCount(), Outcomes: all.outcomes[kind],
			P50MS: quantileMS(h, 50), P90MS: quantileMS(h, 90), P99MS: quantileMS(h, 99),
			P999MS: quantileMS(h, 99.9), MaxMS: float64(h.Max()) / 1000,
		})
	}
	slices.SortFunc(report.Kinds, func(a, b KindReport) int { return strings.Compare(a.Kind, b.Kind) })
	report.Achieved = float64(total) / took.Seconds()
	return report
}

func (r *recorder) merge(o *recorder) {
	for kind, h := range o.latency {
		r.prepare(kind)
		r.latency[kind].Merge(h)
		for outcome, n := range o.outcomes[kind] {
			r.outcomes[kind][outcome] += n
		}
	}
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Count returns the number of requests with an outcome, over all kinds.
func (r *Report) Count(outcome string) int64 {
	n := int64(0)
	for _, k := range r.Kinds {
		n += k.Outcomes[outcome]
	}
	return n
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(w io.Writer) error {
	lines := []string{"kind\tcount\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\toutcomes\t"}
	for _, k := range r.Kinds {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t",
			k.Kind, k.Count, k.P50MS, k.P90MS, k.P99MS, k.P999MS, k.MaxMS, outcomeText(k.Outcomes)))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, strings.Join(lines, "\n")+"\n"); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "intended %.0f/s, achieved %.0f/s in %.1f s\n", r.Rate, r.Achieved, r.Seconds)
	return err
}

func outcomeText(outcomes map[string]int64) string {
	parts := make([]string, 0, len(outcomes))
	for outcome, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%s=%d", outcome, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
