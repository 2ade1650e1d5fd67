package load

import (
	"encoding/json"
	"io"
)

// Measurement is one line of a benchmark's output. Baseline is the same figure
// without the measured part, or the aim, and Ratio is Value over Baseline; both are
// 0 if there is none. N is the number of events behind the value.
type Measurement struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Baseline float64 `json:"baseline"`
	Ratio    float64 `json:"ratio"`
	N        int64   `json:"n"`
}

// Against returns the measurement with a baseline.
func (m Measurement) Against(baseline float64) Measurement {
	m.Baseline, m.Ratio = baseline, m.Value/baseline
	return m
}

// WriteMeasurements writes one JSON object a line.
func WriteMeasurements(w io.Writer, list ...Measurement) error {
	out := json.NewEncoder(w)
	for _, m := range list {
		if err := out.Encode(m); err != nil {
			return err
		}
	}
	return nil
}
