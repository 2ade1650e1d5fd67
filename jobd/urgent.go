package jobd

import "sync"

// urgentQueue holds the functions that the control thread runs before all others, in their
// order. Messages of the log pass through it: on a loaded leader they would wait behind the
// replies of the whole fleet, several times for each commit.
type urgentQueue struct {
	mu    sync.Mutex
	queue []func()
}

func (q *urgentQueue) push(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, f)
}

// pop returns the oldest function, or nil if there is none.
func (q *urgentQueue) pop() func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		return nil
	}
	f := q.queue[0]
	q.queue[0] = nil
	q.queue = q.queue[1:]
	return f
}

// postUrgent runs f on the control thread before the functions that were posted.
func (s *Server) postUrgent(f func()) {
	s.urgent.push(f)
	s.post(func() {})
}
