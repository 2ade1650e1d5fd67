package jobs_test

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

func evacuateCommand(domain string, at int64) jobs.Command {
	return jobs.Command{Evacuate: &jobs.Evacuate{Domain: domain, By: "op", Replica: "r", At: at}}
}

func endEvacuationCommand(domain string, at int64) jobs.Command {
	return jobs.Command{EndEvacuation: &jobs.EndEvacuation{Domain: domain, By: "op", Replica: "r", At: at}}
}

var _ = Describe("Evacuations", func() {
	var s *jobs.Store
	BeforeEach(func() { s = jobs.NewStore() })

	// Guards against a repeated order that adds a record or changes when and by whom the domain
	// was evacuated, and against orders for one domain that affect another.
	It("apply an order once and keep domains apart", func() {
		Expect(s.Apply(endEvacuationCommand("a", 1)).Applied).To(BeFalse())
		Expect(s.Apply(evacuateCommand("b", 2)).Applied).To(BeTrue())
		Expect(s.Apply(evacuateCommand("a", 3)).Applied).To(BeTrue())
		Expect(s.Apply(evacuateCommand("a", 9)).Applied).To(BeFalse())
		Expect(s.Evacuations()).To(Equal([]jobs.Evacuation{{Domain: "a", By: "op", Since: 3}, {Domain: "b", By: "op", Since: 2}}))
		Expect(s.Apply(endEvacuationCommand("a", 10)).Applied).To(BeTrue())
		Expect(s.Apply(endEvacuationCommand("a", 11)).Applied).To(BeFalse())
		Expect(s.Evacuated("a")).To(BeFalse())
		Expect(s.Evacuated("b")).To(BeTrue())
		Expect(s.EvacuationRecords()).To(HaveLen(3))
		Expect(s.EvacuationRecords()[2]).To(Equal(jobs.EvacuationRecord{
			Number: 3, Action: jobs.ActionRevoked, Order: jobs.Evacuate{Domain: "a", By: "op", Replica: "r", At: 10},
		}))
	})

	// Documents that the last order in the log counts: a repetition that arrives after the
	// opposite order is in force again, since orders carry no number.
	It("put a late repetition in force again", func() {
		s.Apply(evacuateCommand("a", 1))
		s.Apply(endEvacuationCommand("a", 2))
		Expect(s.Apply(evacuateCommand("a", 1)).Applied).To(BeTrue())
		Expect(s.Evacuated("a")).To(BeTrue())
	})

	// Guards against an evacuation or an audit record that is lost with a snapshot, and against a
	// trail that grows without bound or counts anew.
	It("survive a snapshot with the newest 256 records", func() {
		for i := range 300 {
			s.Apply(evacuateCommand(fmt.Sprintf("d%d", i%150), int64(2*i)))
			if i < 299 {
				s.Apply(endEvacuationCommand(fmt.Sprintf("d%d", i%150), int64(2*i+1)))
			}
		}
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := jobs.Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Evacuations()).To(Equal(s.Evacuations()))
		Expect(restored.Evacuated("d149")).To(BeTrue())
		Expect(restored.EvacuationRecords()).To(HaveLen(256))
		Expect(restored.EvacuationRecords()[255].Number).To(Equal(int64(599)))
		restored.Apply(endEvacuationCommand("d149", 700))
		Expect(restored.EvacuationRecords()[255].Number).To(Equal(int64(600)))
		Expect(restored.EvacuationRecords()).To(HaveLen(256))
	})

	// Guards against a log or a snapshot that the previous version cannot read, and against one
	// of the previous version that this one cannot read.
	It("are readable beside the previous version", func() {
		data, err := jobs.Encode([]jobs.Command{evacuateCommand("a", 1), cancelCommand("j")})
		Expect(err).NotTo(HaveOccurred())
		decoded, err := jobs.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded[0]).To(Equal(evacuateCommand("a", 1)))
		empty, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		var fields map[string]json.RawMessage
		Expect(json.Unmarshal(empty, &fields)).To(Succeed())
		Expect(fields).NotTo(HaveKey("evacuations"))
		Expect(fields).NotTo(HaveKey("evacuation_records"))
		restored, err := jobs.Restore(empty)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Apply(evacuateCommand("a", 1)).Applied).To(BeTrue())
	})

	// Guards against an order that is refused for a domain that has a worker or is evacuated, and
	// against one that is accepted for a misspelled domain.
	It("know the domains of workers and of evacuations", func() {
		s.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: jobs.Worker{Incarnation: worker, Domain: "a"}}})
		s.Apply(evacuateCommand("b", 1))
		Expect(s.KnowsDomain("a")).To(BeTrue())
		Expect(s.KnowsDomain("b")).To(BeTrue())
		Expect(s.KnowsDomain("c")).To(BeFalse())
	})
})
