package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/config"
)

// Exit codes of geranium, as docs/OPERATIONS.md lists them.
const (
	exitSuccess  = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitRefused  = 4
	exitUnknown  = 5
)

// tour runs geranium against one fleet.
type tour struct {
	*WithT
	f    *fleet
	path string // a file with the example configuration
	ran  map[string]bool
}

func newTour(t *testing.T) *tour {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	t.Cleanup(cancel)
	g := NewWithT(t)
	f, err := newFleet(t.TempDir(), smallLayout())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.killAll)
	g.Expect(f.start(ctx)).To(Succeed())
	document, err := exec.Command("go", "run", examplePath).Output()
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(f.dir, "lichtdach.json")
	g.Expect(os.WriteFile(path, document, 0o600)).To(Succeed())
	return &tour{WithT: g, f: f, path: path, ran: map[string]bool{}}
}

// documented returns the commands of a page as "command -flag -flag", with the flags
// in order.
func documented(t *tour, page string) []string {
	text, err := os.ReadFile(page)
	t.Expect(err).NotTo(HaveOccurred())
	var found []string
	for _, match := range regexp.MustCompile("(?m)(?:`|^ {4}(?:.*\\| )?)geranium ([^`\n]+)").FindAllStringSubmatch(string(text), -1) {
		found = append(found, signature(strings.Fields(match[1])))
	}
	return found
}

// hasRun reports whether one call had the command and all of its flags.
func (t *tour) hasRun(command string) bool {
	wanted := strings.Fields(command)
	for one := range t.ran {
		has := strings.Fields(one)
		if len(has) > 0 && has[0] == wanted[0] && !slices.ContainsFunc(wanted, func(word string) bool { return !slices.Contains(has, word) }) {
			return true
		}
	}
	return false
}

// signature reduces a call to the command and its flags.
func signature(arguments []string) string {
	var flags []string
	command := ""
	for _, argument := range arguments {
		switch {
		case argument == ">" || argument == "-json":
		case strings.HasPrefix(argument, "-") && argument != "-":
			flags = append(flags, argument)
		case command == "":
			command = argument
		case command == "replica" && slices.Contains([]string{"add", "promote", "remove"}, argument):
			flags = append(flags, argument)
		}
	}
	slices.Sort(flags)
	return strings.Join(append([]string{command}, flags...), " ")
}

// run runs one command, requires its exit code and returns its output.
func (t *tour) run(code int, arguments ...string) string {
	t.ran[signature(arguments)] = true
	out, err := t.f.geranium([]byte(`{"team":"planning","job":"cutting-plan","payload":{"run_ms":200}}`), arguments...)
	t.Expect(codeOf(err)).To(Equal(code), "geranium %v: %v", arguments, err)
	return out
}

func codeOf(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return exitSuccess
}

// both runs a command for people and with -json, whose output must be JSON.
func (t *tour) both(arguments ...string) string {
	out := t.run(exitSuccess, append([]string{"-json"}, arguments...)...)
	t.Expect(json.Valid([]byte(out))).To(BeTrue(), "geranium -json %v: %s", arguments, out)
	after := append([]string{arguments[0], "-json"}, arguments[1:]...)
	t.Expect(json.Valid([]byte(t.run(exitSuccess, after...)))).To(BeTrue(), "geranium %v", after)
	return t.run(exitSuccess, arguments...)
}

// Guards against a command of the tour that no longer works, prints no JSON for
// programs, or ends with an exit code that is not the documented one.
func TestTour(t *testing.T) {
	t.Parallel()
	tour := newTour(t)
	tour.configuration()
	tour.work()
	tour.fleetCommands()
	tour.stoppedReplica()
	tour.jobMembers(t)
	tour.exitCodes()
	tour.keys()
	tour.documentation()
}

// documentation checks that the tour or the replacement of a replica ran every
// command of the pages for newcomers and operators.
func (t *tour) documentation() {
	for _, page := range []string{"../README.md", "../docs/OPERATIONS.md"} {
		commands := documented(t, page)
		t.Expect(len(commands)).To(BeNumerically(">", 9), page)
		for _, command := range commands {
			if !strings.HasPrefix(command, "replica ") {
				t.Expect(t.hasRun(command)).To(BeTrue(), "no test runs %q of %s", command, page)
			}
		}
	}
}

func (t *tour) configuration() {
	t.Expect(t.both("check", t.path)).To(ContainSubstring("no problems"))
	t.Eventually(func() int {
		_, err := t.f.geranium(nil, "history")
		return codeOf(err)
	}).WithTimeout(readyTimeout).Should(Equal(exitSuccess))
	t.Expect(t.both("diff", t.path)).To(ContainSubstring("job cutting-plan"))
	t.Expect(t.run(exitSuccess, "apply", "-comment", "first configuration", "-base", "0", "-change", "tour", t.path)).
		To(ContainSubstring("accepted as version 1"))
	t.Expect(t.both("diff", t.path)).To(ContainSubstring("no change"))
	t.Expect(t.both("history")).To(ContainSubstring("first configuration"))
	t.Expect(t.both("show")).To(ContainSubstring("cutting-plan"))
	t.Expect(t.run(exitSuccess, "rollback", "1")).To(ContainSubstring("accepted as version 2"))
	t.Expect(t.run(exitSuccess, "rollback", "-json", "1")).To(ContainSubstring(`"version": 3`))
	t.Expect(t.both("schema")).To(ContainSubstring("$schema"))
	t.both("version")
	t.completion()
}

func (t *tour) work() {
	var id string
	t.Eventually(func() error {
		out, err := t.f.geranium([]byte(`{"team":"planning","job":"cutting-plan","payload":{"run_ms":200}}`), "submit", "-key", "plan-1", "-")
		id = strings.TrimSpace(out)
		return err
	}).WithTimeout(readyTimeout).Should(Succeed())
	t.Expect(t.both("submit", "-key", "plan-1", "-")).To(Equal(id + "\n"))
	t.Expect(t.both("wait", id)).To(ContainSubstring(`"done"`))
	t.Expect(t.both("explain", id)).To(ContainSubstring("placed"))
	t.Expect(t.both("explain", "no-such-task")).To(ContainSubstring("up to one hour"))
	long, err := t.f.geranium([]byte(`{"team":"planning","job":"cutting-plan","payload":{"run_ms":60000}}`), "submit", "-key", "plan-2", "-")
	t.Expect(err).NotTo(HaveOccurred())
	t.run(exitFailure, "wait", "-timeout", "100ms", strings.TrimSpace(long))
	t.Expect(t.both("diff", t.withoutJob("cutting-plan"))).To(MatchRegexp("of the job: not known; .* bound in all"))
	t.both("cancel", strings.TrimSpace(long))
	t.Expect(t.run(exitSuccess, "wait", "-timeout", "10s", strings.TrimSpace(long))).To(ContainSubstring(`"cancelled"`))
}

func (t *tour) fleetCommands() {
	t.Eventually(func() string { return t.both("status") }).WithTimeout(readyTimeout).
		Should(MatchRegexp(` active +[0-9]+ .* 1?[0-9]{3} +[1-6][0-9]{4} +ok`), "the leases of the active scheduler")
	worker := workerName(t.f.domains[0], 0)
	t.Expect(t.both("status", "-workers")).To(ContainSubstring(worker))
	t.Expect(t.both("drain", worker)).To(ContainSubstring("draining"))
	t.Eventually(func() string { return t.run(exitSuccess, "status") }).WithTimeout(takeoverTime).
		Should(MatchRegexp(worker + ` +draining +drained by an operator`))
	t.drainSurvivesRestarts(worker)
	t.Expect(t.both("drain", "-undo", worker)).To(ContainSubstring("accepting work"))
	t.Eventually(func() string { return t.both("audit") }).WithTimeout(takeoverTime).
		Should(And(ContainSubstring("first configuration"), ContainSubstring(worker)))
	t.Expect(t.both("audit", "-actor", "e2e", "-action", "config.apply")).To(ContainSubstring("first configuration"))
	t.Expect(t.both("audit", "-verify")).To(ContainSubstring("no gap and no edit"))
	t.Expect(t.run(exitSuccess, "audit", "-export")).To(ContainSubstring("first configuration"))
}

// stoppedReplica checks that a stopped follower shows while the log stands still.
func (t *tour) stoppedReplica() {
	leader, err := t.f.leader(context.Background())
	t.Expect(err).NotTo(HaveOccurred())
	for i, p := range t.f.controls {
		if p == leader {
			continue
		}
		row := fmt.Sprintf(`(?m)^%d .* true +[0-9]+ +`, i+1)
		t.Expect(t.run(exitSuccess, "status")).To(MatchRegexp(row + "answers"))
		p.freeze()
		t.Eventually(func() string { return t.run(exitSuccess, "status") }).WithTimeout(takeoverTime).
			Should(MatchRegexp(row + "silent"))
		p.thaw()
		return
	}
}

// jobMembers checks that the members of job replicas show.
func (t *tour) jobMembers(test *testing.T) {
	f := startJobReplicas(test, t.WithT, 3)
	t.Eventually(f.voters).WithTimeout(readyTimeout).Should(HaveLen(3))
	t.Expect(t.both("job-members", f.peers[0].target)).To(And(ContainSubstring("target 3 voters"), ContainSubstring("answers")))
	t.Expect(t.both("evacuate", f.peers[0].target, "a")).To(Equal("a: evacuated\n"))
	t.Expect(t.both("evacuations", f.peers[1].target)).To(MatchRegexp(`(?m)^a +.* +0$`))
	t.Expect(t.both("end-evacuation", f.peers[2].target, "a")).To(Equal("a: accepting work\n"))
	t.run(exitFailure, "evacuate", f.peers[0].target, "unknown")
}

// drainSurvivesRestarts guards against a drain that only the schedulers remember,
// and against a record of it from each of them.
func (t *tour) drainSurvivesRestarts(worker string) {
	ctx := context.Background()
	state := func() string {
		status, err := t.f.client.Status(ctx)
		t.Expect(err).NotTo(HaveOccurred())
		for _, s := range status.Schedulers {
			for _, w := range s.Workers {
				if s.Role == "active" && w.Worker == worker {
					return w.State
				}
			}
		}
		return ""
	}
	t.Eventually(state).WithTimeout(takeoverTime).Should(Equal("draining"))
	for _, p := range t.f.schedulers[t.f.domains[0]] {
		p.kill()
	}
	for _, p := range t.f.schedulers[t.f.domains[0]] {
		t.Expect(p.start()).To(Succeed())
	}
	t.Eventually(state).WithTimeout(longFreeze).ShouldNot(BeEmpty())
	t.Expect(state()).To(Equal("draining"), "after the restart of both schedulers")
	records, err := t.f.client.Audit(ctx, 0, 100, "", "drain")
	t.Expect(err).NotTo(HaveOccurred())
	t.Expect(records).To(HaveLen(1))
}

// keys makes an authority and certificates.
func (t *tour) keys() {
	authority, out := filepath.Join(t.f.dir, "ca"), filepath.Join(t.f.dir, "keys")
	t.run(exitSuccess, "ca", "-out", authority)
	t.run(exitFailure, "ca", "-out", authority)
	t.run(exitSuccess, "issue", "-authority", authority, "-role", "operator", "-name", "anna", "-out", out)
	t.run(exitSuccess, "issue", "-authority", authority, "-role", "gateway", "-name", "gateway-1",
		"-addresses", "192.0.2.10,geranium.example", "-out", out)
	for _, name := range []string{"anna.pem", "anna.key", "gateway-1.pem", "gateway-1.key"} {
		t.Expect(filepath.Join(out, name)).To(BeARegularFile())
	}
	t.run(exitUsage, "issue", "-authority", authority, "-role", "caller", "-name", "anna", "-out", out)
}

func (t *tour) exitCodes() {
	t.run(exitUsage, "apply")
	t.run(exitUsage, "no-such-command")
	t.run(exitUsage, "status", "extra")
	t.run(exitUsage, "show", "first")
	t.run(exitUsage, "-gateways", "", "status")
	t.messages()
	t.run(exitFailure, "check", t.path+".missing")
	t.run(exitFailure, "-gateways", t.f.ip+":1", "status")
	t.run(exitFailure, "-gateways", t.f.ip+":1", "apply", "-base", "3", t.path)
	t.run(exitConflict, "apply", "-base", "0", t.path)
	t.run(exitRefused, "check", "-")
	t.run(exitRefused, "show", "999")
	t.run(exitRefused, "drain", "no-such-worker")
	t.run(exitRefused, "wait", "no-such-task")
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer silent.Close()
	lost := strings.TrimPrefix(silent.URL, "http://")
	t.run(exitUnknown, "-gateways", lost, "apply", "-base", "3", t.path)
	t.run(exitUnknown, "-gateways", lost+","+t.f.ip+":1", "submit", "-key", "plan-3", "-")
}

// messages checks the exit code and the remedy of wrong calls.
func (t *tour) messages() {
	for _, wrong := range []struct {
		code      int
		remedy    string
		arguments []string
	}{
		{exitUsage, "see geranium help wait", []string{"wait"}},
		{exitUsage, "use the form host:port", []string{"-gateways", "entry", "status"}},
		{exitUsage, "use add, promote or remove", []string{"replica", "grow", "3"}},
		{exitUsage, "needs -address and -domain", []string{"replica", "add", "9"}},
		{exitUsage, "geranium history", []string{"rollback", "first"}},
		{exitFailure, "correct the path", []string{"apply", "-base", "3", t.path + ".missing"}},
		{exitFailure, "correct the path", []string{"submit", t.path + ".missing"}},
		{exitFailure, "check that a gateway listens there", []string{"-gateways", t.f.ip + ":1", "history"}},
		{exitConflict, "geranium diff", []string{"apply", "-base", "0", t.path}},
		{exitRefused, "geranium schema prints the fields", []string{"check", "-"}},
		{exitRefused, "geranium status for the names", []string{"drain", "no-such-worker"}},
	} {
		_, err := t.f.geranium([]byte(`{"format":1,"zones":[]}`), wrong.arguments...)
		t.Expect(codeOf(err)).To(Equal(wrong.code), "geranium %v: %v", wrong.arguments, err)
		t.Expect(err.Error()).To(ContainSubstring(wrong.remedy))
	}
}

// withoutJob writes the example configuration without a job.
func (t *tour) withoutJob(job string) string {
	document, err := os.ReadFile(t.path)
	t.Expect(err).NotTo(HaveOccurred())
	c, err := config.Parse(document)
	t.Expect(err).NotTo(HaveOccurred())
	c.Jobs = slices.DeleteFunc(c.Jobs, func(j config.Job) bool { return j.Name == job })
	c.Apart = slices.DeleteFunc(c.Apart, func(p config.Pair) bool { return p.Job == job })
	document, err = config.Marshal(c)
	t.Expect(err).NotTo(HaveOccurred())
	path := t.path + ".without"
	t.Expect(os.WriteFile(path, document, 0o600)).To(Succeed())
	return path
}

// completion checks in bash that the script completes a command and a flag.
func (t *tour) completion() {
	path := filepath.Join(t.f.dir, "completion.bash")
	t.Expect(os.WriteFile(path, []byte(t.run(exitSuccess, "completion")), 0o600)).To(Succeed())
	complete := func(words string) string {
		script := `source "$0"; COMP_WORDS=(geranium ` + words + `); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _geranium; echo "${COMPREPLY[@]}"`
		out, err := exec.Command("bash", "-c", script, path).Output()
		t.Expect(err).NotTo(HaveOccurred())
		return strings.TrimSpace(string(out))
	}
	t.Expect(complete("rol")).To(Equal("rollback"))
	t.Expect(complete("-json audit -ver")).To(Equal("-verify"))
	t.Expect(complete("replica pro")).To(Equal("promote"))
}
