package fairness_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/policy/fairness"
	"geraniumwall/workerapi"
)

func declaredSize(_ string, size workerapi.Resources) workerapi.Resources { return size }

func size(cpu int64) workerapi.Resources { return workerapi.Resources{CPUMillis: cpu, MemoryMB: cpu} }

func newTeam(name string, weight int, quota int64, borrows bool) config.Team {
	return config.Team{Name: name, Weight: weight, Quota: config.Resources(size(quota)), MayBorrow: borrows}
}

func newQueue(teams ...config.Team) *fairness.Queue {
	q := fairness.NewQueue(fairness.Rules{}, declaredSize)
	q.SetTeams(teams, 1)
	q.SetTotal(size(100))
	return q
}

func push(q *fairness.Queue, n int, team string, class config.Priority, cpu int64, at time.Duration) {
	for i := range n {
		q.Push(fairness.Item{ID: fmt.Sprint(team, class, at, i), Team: team, Class: class, Size: size(cpu), Enqueued: at})
	}
}

// startTasks starts up to n tasks in one round and counts them by team.
func startTasks(q *fairness.Queue, now time.Duration, n int) map[string]int {
	taken := map[string]int{}
	round := q.Round(now)
	for range n {
		c, found := round.Pick()
		if !found {
			break
		}
		round.Take(c)
		taken[c.Team]++
	}
	return taken
}

var _ = Describe("order of waiting tasks", func() {
	// Guards against a team that gets more than its share by enqueueing many tasks
	// first.
	It("divides capacity by weight whatever the order of arrival", func() {
		q := newQueue(newTeam("a", 1, 0, false), newTeam("b", 3, 0, false))
		push(q, 100, "a", config.Batch, 1, 0)
		push(q, 100, "b", config.Batch, 1, time.Second)
		taken := startTasks(q, time.Minute, 40)
		Expect(taken["a"]).To(BeNumerically("~", 10, 1))
		Expect(taken["b"]).To(BeNumerically("~", 30, 1))
	})

	// Guards against starvation of batch work by a steady stream of urgent work of
	// the same team.
	It("eventually starts every task", func() {
		q := newQueue(newTeam("a", 1, 0, false))
		push(q, 1, "a", config.Batch, 1, 0)
		for minute := 1; minute <= 40; minute++ {
			now := time.Duration(minute) * time.Minute
			push(q, 10, "a", config.Urgent, 1, now)
			round := q.Round(now)
			for range 10 {
				c, _ := round.Pick()
				round.Take(c)
				if c.Class == config.Batch {
					return
				}
			}
		}
		Fail("the batch task never started")
	})

	// Guards against starvation by a steady stream of urgent work of a team with a
	// smaller share, while long-running tasks keep the share of the own team large.
	It("starts an overdue task of a team with a large share", func() {
		q := newQueue(newTeam("a", 1, 0, false), newTeam("b", 1, 0, false))
		q.Charge("b", config.Batch, size(50))
		push(q, 1, "b", config.Batch, 1, 0)
		for minute := 1; minute <= 40; minute++ {
			now := time.Duration(minute) * time.Minute
			push(q, 10, "a", config.Urgent, 1, now)
			taken := startTasks(q, now, 10)
			if taken["b"] > 0 {
				Expect(minute).To(BeNumerically(">=", 30), "urgent work goes first until the task is overdue")
				return
			}
			q.Release("a", config.Urgent, size(int64(taken["a"])))
		}
		Fail("the batch task never started")
	})

	// Guards against a backlog of overdue tasks that delays urgent work.
	It("limits how many overdue tasks go before urgent work", func() {
		q := newQueue(newTeam("a", 1, 0, false), newTeam("b", 1, 0, false))
		push(q, 100, "b", config.Batch, 1, 0)
		push(q, 5, "a", config.Urgent, 1, time.Hour)
		Expect(startTasks(q, time.Hour, 6)).To(Equal(map[string]int{"a": 5, "b": 1}))
		push(q, 5, "a", config.Urgent, 1, time.Hour)
		Expect(startTasks(q, time.Hour+time.Second, 5)).To(Equal(map[string]int{"a": 5}))
	})

	// Guards against a team that exceeds its quota although it may not borrow.
	It("limits a team to its quota", func() {
		q := newQueue(newTeam("a", 1, 10, false), newTeam("b", 1, 90, false))
		push(q, 50, "a", config.Batch, 1, 0)
		Expect(startTasks(q, 0, 50)).To(Equal(map[string]int{"a": 10}))
	})

	// Guards against urgent work that waits because batch work of its own team fills
	// the quota. In the noisy-wave scenario such work waited for 21 s.
	It("admits urgent work of a team whose batch work fills its quota", func() {
		q := newQueue(newTeam("a", 1, 10, false))
		push(q, 10, "a", config.Batch, 1, 0)
		startTasks(q, 0, 10)
		push(q, 1, "a", config.Urgent, 1, 0)
		Expect(startTasks(q, 0, 1)).To(HaveLen(1))
	})
})

var _ = Describe("borrowing", func() {
	// Guards against idle quota that no team can use, and against lending more than
	// is idle.
	It("lends only idle quota", func() {
		q := newQueue(newTeam("a", 1, 10, true), newTeam("b", 1, 30, false))
		q.Charge("b", config.Batch, size(10))
		push(q, 100, "a", config.Batch, 1, 0)
		Expect(startTasks(q, 0, 100)["a"]).To(Equal(30))
		Expect(startTasks(q, time.Second, 100)).To(BeEmpty(), "quota lent in one round is not lent again in the next")
	})

	// Guards against borrowing that continues while a team within its own quota waits
	// for capacity.
	It("lends nothing while a team within its quota waits for capacity", func() {
		q := newQueue(newTeam("a", 1, 10, true), newTeam("b", 1, 90, false))
		q.Charge("a", config.Batch, size(10))
		push(q, 1, "b", config.Batch, 50, 0)
		push(q, 5, "a", config.Batch, 1, 0)
		round := q.Round(0)
		c, _ := round.Pick()
		Expect(c.Team).To(Equal("b"))
		round.Block(c)
		Expect(startTasks(q, 5*time.Second, 5)["a"]).To(BeZero())
	})
})

var _ = Describe("quota of a domain", func() {
	// Guards against a task that waits forever because it fits the deployment quota
	// but not the part of it for one domain.
	It("admits one task larger than the domain quota", func() {
		q := fairness.NewQueue(fairness.Rules{}, declaredSize)
		q.SetTeams([]config.Team{newTeam("a", 1, 40, false)}, 4)
		push(q, 2, "a", config.Batch, 25, 0)
		Expect(startTasks(q, 0, 2)["a"]).To(Equal(1))
		Expect(q.Possible("a", size(41))).To(BeFalse())
	})
})
