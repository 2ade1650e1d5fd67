package control

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/settings"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
)

func room(cpu int64) *controlpb.Resources {
	return &controlpb.Resources{CpuMillis: cpu, MemoryMb: 1 << 20}
}

func pendingTask(id, domain string, cpu int64, p controlpb.Priority) *controlpb.Task {
	return &controlpb.Task{Id: id, Spec: &controlpb.TaskSpec{
		Domain: domain, Priority: p, Resources: &controlpb.Resources{CpuMillis: cpu},
	}}
}

// planned returns the domain of each task that is bound.
func planned(b *binder, now time.Duration, targets []*target, tasks ...*controlpb.Task) map[string]string {
	scan := func(f func(*controlpb.Task) bool) {
		for _, t := range tasks {
			if !f(t) {
				return
			}
		}
	}
	domains := map[string]string{}
	for _, p := range b.plan(now, scan, targets) {
		domains[p.GetTask()] = p.GetDomain()
	}
	return domains
}

var _ = Describe("binding", func() {
	const batch, urgent = controlpb.Priority_PRIORITY_BATCH, controlpb.Priority_PRIORITY_URGENT
	two := func(a, b, waiting int64) []*target {
		return []*target{
			{domain: "a", free: room(a), largest: room(a), workers: 1, waiting: waiting},
			{domain: "b", free: room(b), largest: room(b), workers: 1, waiting: waiting},
		}
	}

	// Guards against a domain that is filled while another one is idle, and against
	// a preference that is ignored or that makes a task wait.
	It("prefers the preferred domain with room, then spreads by free capacity", func() {
		got := planned(newBinder(), 0, two(4000, 3000, queuePerWorker), pendingTask("1", "b", 2000, batch),
			pendingTask("2", "b", 2000, batch), pendingTask("3", "", 2000, batch), pendingTask("4", "", 2000, batch))
		Expect(got).To(Equal(map[string]string{"1": "b", "2": "a", "3": "a"}))
	})

	// Guards against an urgent task that waits in control, where nothing is evicted
	// for it.
	It("binds an urgent task although nothing is free", func() {
		Expect(planned(newBinder(), 0, two(0, 0, 99), pendingTask("1", "", 100, urgent))).To(HaveLen(1))
	})

	// Guards against a task that is bound to the domain that just returned it.
	It("avoids a domain that returned the task for a while", func() {
		b := newBinder()
		b.returned(0, "1", "a")
		Expect(planned(b, time.Second, two(9000, 100, 0), pendingTask("1", "a", 100, batch))).To(HaveKeyWithValue("1", "b"))
		Expect(planned(b, time.Minute, two(9000, 100, 0), pendingTask("1", "a", 100, batch))).To(HaveKeyWithValue("1", "a"))
	})

	// Guards against bindings beyond the capacity before a load report shows them.
	It("counts bindings that the load does not show yet", func() {
		b := newBinder()
		Expect(planned(b, 0, two(1000, 0, queuePerWorker), pendingTask("1", "", 1000, batch))).To(HaveLen(1))
		Expect(planned(b, recentBinding/2, two(1000, 0, queuePerWorker), pendingTask("2", "", 1000, batch))).To(BeEmpty())
	})
})

var _ = Describe("settings", func() {
	layout := func(single bool, domains ...string) error {
		s := &Settings{Name: "n", Domain: "a", Listen: "127.0.0.1:1", DataDir: "d", ReplicaID: 1, SingleDomainOK: single}
		for i, d := range domains {
			s.Replicas = append(s.Replicas, ReplicaAddress{uint64(i + 1), "127.0.0.1:" + string(rune('1'+i)), d})
		}
		return settings.Validate("test", s)
	}

	// Guards against a layout that the loss of one domain stops.
	It("refuse replicas of which one domain holds too many", func() {
		Expect(layout(false, "a", "b", "c")).To(Succeed())
		Expect(layout(false, "a", "a", "b", "b", "c")).To(Succeed())
		Expect(layout(false, "a", "a", "b")).To(MatchError(ContainSubstring("spread")))
		Expect(layout(false, "a", "b")).To(MatchError(ContainSubstring("spread")))
		Expect(layout(true, "a", "a", "a")).To(Succeed())
	})

	// Guards against a later replica that can't be started, since the replicas that run and
	// that it is to ask are too few for a first layout.
	It("permit any replicas in the settings of a later one", func() {
		s := &Settings{
			Name: "n", Domain: "a", Listen: "127.0.0.1:1", DataDir: "d", ReplicaID: 6,
			Replicas: []ReplicaAddress{{4, "127.0.0.1:2", "a"}, {5, "127.0.0.1:3", "b"}},
		}
		Expect(settings.Validate("test", s)).To(Succeed())
		s.Replicas = s.Replicas[:1]
		Expect(settings.Validate("test", s)).To(Succeed())
		s.ReplicaID = 4
		Expect(settings.Validate("test", s)).To(MatchError(ContainSubstring("state_may_be_lost")))
	})

	// Guards against a single replica that starts empty after the loss of its disk
	// although nobody accepted that.
	It("refuse a single replica unless they say that state may be lost", func() {
		Expect(layout(true, "a")).To(MatchError(ContainSubstring("state_may_be_lost")))
		s := &Settings{
			Name: "n", Domain: "a", Listen: "127.0.0.1:1", DataDir: "d", ReplicaID: 1, SingleDomainOK: true, StateMayBeLost: true,
			Replicas: []ReplicaAddress{{1, "127.0.0.1:1", "a"}},
		}
		Expect(settings.Validate("test", s)).To(Succeed())
		var out strings.Builder
		warnOfLoss(*s, zerolog.New(&out))
		Expect(out.String()).To(ContainSubstring("lost with its disk"))
		s.Replicas = append(s.Replicas, s.Replicas[0])
		out.Reset()
		warnOfLoss(*s, zerolog.New(&out))
		Expect(out.String()).To(BeEmpty())
	})
})

var _ = Describe("the domains that get tasks", func() {
	// Guards against tasks that go on being bound to a domain which an operator has
	// taken out of the configuration.
	It("are those that the configuration declares", func() {
		m := state.New()
		for i, domain := range []string{"a", "b"} {
			_, err := m.Apply(uint64(i+1), &statepb.Command{Kind: &statepb.Command_Appoint{
				Appoint: &statepb.Appoint{Domain: domain, Scheduler: "s-" + domain},
			}})
			Expect(err).NotTo(HaveOccurred())
		}
		l := newLeadership(1, 0, m)
		for _, domain := range []string{"a", "b"} {
			v := l.domain(domain)
			v.grantor.Renew(0)
			v.load = &controlpb.DomainLoad{Workers: 1}
		}
		names := func(declared *config.Config) (list []string) {
			for _, g := range l.targets(0, m, declared) {
				list = append(list, g.domain)
			}
			return list
		}
		Expect(names(nil)).To(ConsistOf("a", "b"))
		Expect(names(&config.Config{Domains: []string{"b"}})).To(ConsistOf("b"))
	})
})
