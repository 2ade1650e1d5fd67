package fakeworker

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumwall/workerapi"
)

const (
	// meterWindow is the interval of one measurement.
	meterWindow = time.Second
	maxLatency  = int64(time.Hour / time.Microsecond)
)

// meter measures one service in windows. Closed windows are reported once, after
// the lag of the settings.
type meter struct {
	began   time.Time
	latency *hdrhistogram.Histogram
	busy    time.Duration
	closed  []measurement
}

type measurement struct {
	middle time.Time
	report workerapi.ServiceReport
}

func newMeter(now time.Time) *meter {
	return &meter{began: now, latency: hdrhistogram.New(1, maxLatency, 3)}
}

func (w *Worker) measure(service string, now time.Time, took time.Duration) {
	m := w.meters[service]
	if m == nil {
		m = newMeter(now)
		w.meters[service] = m
	}
	_ = m.latency.RecordValue(min(max(took.Microseconds(), 1), maxLatency))
	m.busy += took
}

// serviceReports closes the windows that are over and takes the measurements that
// are old enough to be sent.
func (w *Worker) serviceReports(now time.Time) []workerapi.ServiceReport {
	var due []workerapi.ServiceReport
	lag := time.Duration(w.settings.ReportLagMS) * time.Millisecond
	for service, m := range w.meters {
		m.closeWindow(service, now, w.settings.Slots)
		for len(m.closed) > 0 && now.Sub(m.closed[0].middle) >= lag {
			r := m.closed[0].report
			r.AgeMS = now.Sub(m.closed[0].middle).Milliseconds()
			due = append(due, r)
			m.closed = m.closed[1:]
		}
	}
	return due
}

func (m *meter) closeWindow(service string, now time.Time, slots int) {
	length := now.Sub(m.began)
	if length < meterWindow {
		return
	}
	if m.latency.TotalCount() > 0 {
		m.closed = append(m.closed, measurement{middle: m.began.Add(length / 2), report: workerapi.ServiceReport{
			Service: service, Load: min(1, m.busy.Seconds()/(length.Seconds()*float64(slots))),
			P50US: m.latency.ValueAtQuantile(50), P99US: m.latency.ValueAtQuantile(99), Count: m.latency.TotalCount(),
		}})
	}
	m.began, m.busy = now, 0
	m.latency.Reset()
}
