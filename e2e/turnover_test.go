package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// turnover replaces the control replicas of a fleet one by one, each by one with a new id
// at a new address in the same domain.
type turnover struct {
	*tour
	// members are the ids of the replicas that are to be members.
	members []int
	// versions counts the acknowledged configurations.
	versions int
}

// Guards against a control plane that loses its quorum or an acknowledged configuration
// when a disk is lost after all of its first replicas have been replaced, planned and after
// a loss, the leader among them.
func TestReplaceAllReplicas(t *testing.T) {
	t.Parallel()
	n := &turnover{tour: newTour(t), members: []int{1, 2, 3}}
	n.apply()

	planned := n.leaderID()
	n.join(planned, func() {})
	n.Expect(n.f.controls[planned-1].stop()).To(Succeed())
	n.remove(planned)
	n.apply()

	n.replaceLost(n.founder(n.leaderID()), n.changeLeader)
	n.apply()

	n.listMembers()
	n.replaceLost(n.founder(n.leaderID()), n.changeLeader)
	n.apply()
	n.complete()

	lost := n.leaderID()
	for _, id := range n.members {
		n.f.controls[id-1].kill()
	}
	n.loseDisk(lost)
	for _, id := range n.members {
		n.Expect(n.f.controls[id-1].start()).To(Succeed())
	}
	p := n.f.controls[lost-1]
	n.Eventually(p.exit.done).WithTimeout(readyTimeout).Should(BeClosed(), "replica %d must refuse to start without its disk", lost)
	p.command = nil
	n.apply()
	n.remove(lost)
	n.join(lost, func() {})
	n.apply()
	n.complete()
	n.Expect(strings.Count(n.run(exitSuccess, "history"), "change-")).To(Equal(n.versions))
}

// founder returns the given replica if it is one of the first ones, otherwise another
// first one.
func (n *turnover) founder(preferred int) int {
	if preferred <= len(n.f.controlDomains) {
		return preferred
	}
	return slices.Min(n.members)
}

func (n *turnover) leaderID() int {
	var id int
	n.Eventually(func() error {
		status, err := n.f.client.Status(context.Background())
		if err != nil {
			return err
		}
		id = int(status.Control.GetLeader())
		if !status.Control.GetConfirmed() || !slices.Contains(n.members, id) {
			return fmt.Errorf("leader %d is not confirmed", id)
		}
		return nil
	}).WithTimeout(readyTimeout).Should(Succeed())
	return id
}

// repeat runs a command until it succeeds.
func (n *turnover) repeat(arguments ...string) {
	n.Eventually(func() error {
		_, err := n.f.geranium(nil, arguments...)
		return err
	}).WithTimeout(readyTimeout).Should(Succeed(), n.logsOfMembers)
}

func (n *turnover) logsOfMembers() string {
	text, _ := n.f.geranium(nil, "status")
	return text + n.logs(n.f.controls...)
}

// apply has one more configuration acknowledged.
func (n *turnover) apply() {
	n.repeat("apply", "-wait", "0", "-change", fmt.Sprintf("change-%d", n.versions+1), "-base", fmt.Sprint(n.versions), n.path)
	n.versions++
}

// replaceLost replaces a replica that is gone with its disk.
func (n *turnover) replaceLost(lost int, between func()) {
	n.f.controls[lost-1].kill()
	n.loseDisk(lost)
	n.remove(lost)
	n.join(lost, between)
}

func (n *turnover) loseDisk(id int) {
	n.Expect(os.RemoveAll(filepath.Join(n.f.dir, n.f.controls[id-1].name))).To(Succeed())
}

func (n *turnover) remove(id int) {
	n.repeat("replica", "remove", fmt.Sprint(id))
	n.members = slices.DeleteFunc(n.members, func(m int) bool { return m == id })
}

// join starts a new replica in the domain of an earlier one, adds it, and promotes it after
// the call of between.
func (n *turnover) join(former int, between func()) {
	id := len(n.f.controls) + 1
	name := controlName(id - 1)
	n.f.reserve(name)
	domain := n.domainOf(former)
	p, err := newProcess(n.f.dir, "geranium-control", name, controlSettings{
		Name: name, Domain: domain, Listen: n.f.addresses[name], Metrics: n.f.metrics(name),
		DataDir: filepath.Join(n.f.dir, name), ReplicaID: uint64(id), Replicas: n.othersOf(id),
	})
	n.Expect(err).NotTo(HaveOccurred())
	n.f.controls = append(n.f.controls, p)
	n.Expect(p.start()).To(Succeed())
	n.repeat("replica", "-address", n.f.addresses[name], "-domain", domain, "add", fmt.Sprint(id))
	between()
	n.repeat("replica", "promote", fmt.Sprint(id))
	n.members = append(n.members, id)
}

// othersOf returns the members besides a replica, for its settings.
func (n *turnover) othersOf(id int) []replica {
	var others []replica
	for _, m := range n.members {
		if m != id {
			others = append(others, replica{ID: uint64(m), Address: n.f.addresses[controlName(m-1)], Domain: n.domainOf(m)})
		}
	}
	return others
}

// domainOf returns the domain of a replica from its settings.
func (n *turnover) domainOf(id int) string {
	var s controlSettings
	n.read(n.f.controls[id-1], &s)
	return s.Domain
}

func (n *turnover) read(p *process, settings any) {
	document, err := os.ReadFile(p.settings)
	n.Expect(err).NotTo(HaveOccurred())
	n.Expect(json.Unmarshal(document, settings)).To(Succeed())
}

// changeLeader stops the leader, so that another replica leads, and starts it again.
func (n *turnover) changeLeader() {
	p := n.f.controls[n.leaderID()-1]
	n.Expect(p.stop()).To(Succeed())
	n.Expect(p.start()).To(Succeed())
}

// listMembers writes the members into the settings of the replicas that were added later,
// and into those of the gateways and schedulers, and restarts the latter one by one.
func (n *turnover) listMembers() {
	for _, id := range n.members {
		if id > len(n.f.controlDomains) {
			var settings controlSettings
			p := n.f.controls[id-1]
			n.read(p, &settings)
			settings.Replicas = n.othersOf(id)
			_, err := newProcess(n.f.dir, p.binary, p.name, settings)
			n.Expect(err).NotTo(HaveOccurred())
		}
	}
	var addresses []string
	for _, id := range n.members {
		addresses = append(addresses, n.f.addresses[controlName(id-1)])
	}
	for _, domain := range n.f.domains {
		for _, p := range slices.Concat(n.f.schedulers[domain], n.f.gateways[domain]) {
			settings := map[string]any{}
			n.read(p, &settings)
			settings["control"] = addresses
			_, err := newProcess(n.f.dir, p.binary, p.name, settings)
			n.Expect(err).NotTo(HaveOccurred())
			n.Expect(p.stop()).To(Succeed())
			n.Expect(p.start()).To(Succeed())
		}
	}
	for _, gateway := range n.f.gatewayAddresses() {
		n.Expect(n.f.waitHealthy(context.Background(), gateway)).To(Succeed())
	}
}

// complete checks that the members are three voters that run.
func (n *turnover) complete() {
	n.Eventually(func() string { return n.run(exitSuccess, "status") }).WithTimeout(readyTimeout).
		Should(ContainSubstring("replicas 3, voters 3, answering voters 3, quorum 2"), n.logsOfMembers)
	status := n.run(exitSuccess, "status")
	for _, id := range n.members {
		n.Expect(status).To(MatchRegexp(fmt.Sprintf(`(?m)^%d .* true +[0-9]+ +(leader|answers)`, id)))
	}
}
