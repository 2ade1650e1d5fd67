package e2e_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// replacement is the id of the new replica; the fleet starts with 1 to 3.
const replacement = 4

// Guards against a lost disk that can't be replaced with the documented commands,
// and against a replacement that loses its disk too and comes back empty.
func TestReplaceReplica(t *testing.T) {
	t.Parallel()
	tour := newTour(t)
	f := tour.f
	tour.Expect(f.applyExample()).To(Succeed())
	const lost = 2
	old := f.controls[lost-1]
	old.kill()
	tour.Expect(os.RemoveAll(filepath.Join(f.dir, old.name))).To(Succeed())
	tour.Eventually(func() int {
		_, err := f.geranium(nil, "replica", "remove", fmt.Sprint(lost))
		return codeOf(err)
	}).WithTimeout(readyTimeout).Should(Equal(exitSuccess))
	p := f.replacementOf(tour, lost)
	tour.Expect(p.start()).To(Succeed())
	tour.run(exitRefused, "replica", "-address", f.addresses[old.name], "-domain", f.controlDomains[lost-1], "add", fmt.Sprint(lost))
	tour.run(exitSuccess, "replica", "-address", f.addresses[old.name], "-domain", f.controlDomains[lost-1], "add", fmt.Sprint(replacement))
	tour.Eventually(func() int {
		_, err := f.geranium(nil, "replica", "promote", fmt.Sprint(replacement))
		return codeOf(err)
	}).WithTimeout(readyTimeout).Should(Equal(exitSuccess))
	tour.run(exitRefused, "replica", "promote", fmt.Sprint(replacement))
	tour.voteNeeded(p, old)
	tour.run(exitRefused, "replica", "remove", fmt.Sprint(lost))
	for _, command := range documented(tour, "../docs/OPERATIONS.md") {
		if strings.HasPrefix(command, "replica ") {
			tour.Expect(tour.hasRun(command)).To(BeTrue(), "no test runs %q of docs/OPERATIONS.md", command)
		}
	}
}

// replacementOf writes the settings of a new replica at the address of a lost one.
func (f *fleet) replacementOf(t *tour, lost int) *process {
	name := f.controls[lost-1].name
	var replicas []replica
	for i, domain := range f.controlDomains {
		replicas = append(replicas, replica{ID: uint64(i + 1), Address: f.addresses[controlName(i)], Domain: domain})
	}
	p, err := newProcess(f.dir, "geranium-control", name, controlSettings{
		Name: name, Domain: f.controlDomains[lost-1], Listen: f.addresses[name], Metrics: f.metrics(name),
		DataDir: filepath.Join(f.dir, name), ReplicaID: replacement, Replicas: replicas,
	})
	t.Expect(err).NotTo(HaveOccurred())
	f.controls[lost-1] = p
	return p
}

// voteNeeded checks that the new replica's vote counts once another one is lost,
// and that it does not come back without its disk.
func (t *tour) voteNeeded(p, old *process) {
	t.Expect(p.name).To(Equal(old.name))
	other := t.f.controls[2]
	other.kill()
	t.Eventually(func() int {
		_, err := t.f.geranium(nil, "apply", "-wait", "0", "-change", "after-repair", "-base", "1", t.path)
		return codeOf(err)
	}).WithTimeout(readyTimeout).Should(Equal(exitSuccess))
	t.Expect(other.start()).To(Succeed())
	p.kill()
	t.Expect(os.RemoveAll(filepath.Join(t.f.dir, p.name))).To(Succeed())
	t.Expect(p.start()).To(Succeed())
	t.Eventually(p.exit.done).WithTimeout(takeoverTime*3).Should(BeClosed(), func() string {
		return "it must refuse to run:\n" + t.logs(p, t.f.controls[0], other)
	})
	t.Expect(p.exit.err).To(HaveOccurred())
	p.command = nil
}

// logTail is how much of each log a failed check prints, in bytes.
const logTail = 4000

// logs returns the ends of the logs of some processes.
func (t *tour) logs(processes ...*process) string {
	var text strings.Builder
	for _, p := range processes {
		content, err := os.ReadFile(p.logFile)
		t.Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(&text, "%s:\n%s\n", p.name, content[max(0, len(content)-logTail):])
	}
	return text.String()
}
