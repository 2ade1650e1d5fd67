package e2e_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"geraniumwall/fakeworker"
	"geraniumwall/workerapi"
)

// run is one attempt of a task as its worker recorded it. end is 0 while it runs
// or if the worker was killed.
type run struct {
	task, worker string
	attempt      workerapi.Attempt
	begin, end   int64
	done         bool
}

// records is what all workers of a fleet recorded.
type records struct {
	runs     map[string][]run
	requests map[string]int // starts by idempotency key
}

func (f *fleet) records() (records, error) {
	r := records{runs: map[string][]run{}, requests: map[string]int{}}
	files, err := filepath.Glob(filepath.Join(f.dir, "*.record"))
	if err != nil {
		return r, err
	}
	for _, file := range files {
		if err := r.read(file); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (r *records) read(file string) error {
	open, err := os.Open(file)
	if err != nil {
		return err
	}
	defer open.Close()
	lines := bufio.NewScanner(open)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line fakeworker.Event
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue // the last line of a killed worker may be torn
		}
		r.add(line)
	}
	return lines.Err()
}

func (r *records) add(line fakeworker.Event) {
	switch line.Event {
	case fakeworker.TaskStart:
		r.runs[line.Task] = append(r.runs[line.Task], run{
			task: line.Task, worker: line.Worker, attempt: *line.Attempt, begin: line.NS,
		})
	case fakeworker.TaskStop, fakeworker.TaskDone, fakeworker.TaskFailed:
		runs := r.runs[line.Task]
		for i := range runs {
			if runs[i].attempt == *line.Attempt && runs[i].worker == line.Worker && runs[i].end == 0 {
				runs[i].end, runs[i].done = line.NS, line.Event == fakeworker.TaskDone
			}
		}
	case fakeworker.RequestStart:
		if line.Key != "" {
			r.requests[line.Key]++
		}
	}
}

// problems lists every task that ran in two places at once or finished more than
// once. A run of a killed worker ended at the latest when its process did, so it
// counts only if killed names no time for that worker.
func (r *records) problems(killed map[string]int64) []string {
	var found []string
	for task, runs := range r.runs {
		slices.SortFunc(runs, func(a, b run) int { return int(a.begin - b.begin) })
		finished := 0
		for i, one := range runs {
			if one.done {
				finished++
			}
			end := one.end
			if at, dead := killed[one.worker]; end == 0 && dead {
				end = at
			}
			if i+1 < len(runs) && (end == 0 || end > runs[i+1].begin) {
				found = append(found, fmt.Sprintf("task %s ran on %s (attempt %v) and %s (attempt %v) at once",
					task, one.worker, one.attempt, runs[i+1].worker, runs[i+1].attempt))
			}
		}
		if finished > 1 {
			found = append(found, fmt.Sprintf("task %s finished %d times", task, finished))
		}
	}
	return found
}
