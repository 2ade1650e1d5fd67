package formats_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"geraniumwall/config"
	"geraniumwall/control"
	"geraniumwall/fakeworker"
	"geraniumwall/formats"
	"geraniumwall/schedulerd"
	"geraniumwall/settings"
	"geraniumwall/workerapi/delta"
)

// eachVersion runs a test with the samples of every released version.
func eachVersion(t *testing.T, check func(g Gomega, dir string)) {
	t.Helper()
	g := NewWithT(t)
	dirs, err := filepath.Glob("testdata/v*")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dirs).NotTo(BeEmpty())
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) { check(NewWithT(t), dir) })
	}
}

func readJSON(g Gomega, path string, into any) {
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(data, into)).To(Succeed())
}

// Guards against an upgraded control replica that refuses or misreads its disk.
func TestReplicaOfReleasedVersions(t *testing.T) {
	eachVersion(t, func(g Gomega, dir string) {
		work := t.TempDir()
		g.Expect(os.CopyFS(work, os.DirFS(filepath.Join(dir, formats.ReplicaDir)))).To(Succeed())
		read, err := formats.ReadReplica(work)
		g.Expect(err).NotTo(HaveOccurred())
		var expected formats.Replica
		readJSON(g, filepath.Join(dir, formats.ReplicaFile), &expected)
		readState, err := read.Machine()
		g.Expect(err).NotTo(HaveOccurred())
		expectedState, err := expected.Machine()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(readState, expectedState)).To(BeTrue(), "read %s\nexpected %s", read.State, expected.State)
		read.State, expected.State = nil, nil
		g.Expect(read).To(Equal(expected))
	})
}

// Guards against a message of the previous version that is read differently.
func TestMessagesOfReleasedVersions(t *testing.T) {
	eachVersion(t, func(g Gomega, dir string) {
		file, err := os.Open(filepath.Join(dir, formats.MessagesFile))
		g.Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		lines, count := bufio.NewScanner(file), 0
		for ; lines.Scan(); count++ {
			var m formats.Message
			g.Expect(json.Unmarshal(lines.Bytes(), &m)).To(Succeed())
			binary, fields, err := m.Decode()
			g.Expect(err).NotTo(HaveOccurred(), string(m.Name))
			g.Expect(proto.Equal(binary, fields)).To(BeTrue(), "%s: %v, expected %v", m.Name, binary, fields)
		}
		g.Expect(lines.Err()).NotTo(HaveOccurred())
		g.Expect(count).To(BeNumerically(">", 50))
	})
}

// Guards against heartbeats, configurations and settings of the previous version
// that are refused or read differently.
func TestDocumentsOfReleasedVersions(t *testing.T) {
	eachVersion(t, func(g Gomega, dir string) {
		var sent formats.Heartbeats
		readJSON(g, filepath.Join(dir, formats.HeartbeatsFile), &sent)
		var receiver delta.Receiver
		_, ok := receiver.Restore(sent.Whole)
		g.Expect(ok).To(BeTrue())
		restored, ok := receiver.Restore(sent.Short)
		g.Expect(ok).To(BeTrue())
		g.Expect(restored).To(Equal(sent.Restored))

		document, err := os.ReadFile(filepath.Join(dir, formats.ConfigurationFile))
		g.Expect(err).NotTo(HaveOccurred())
		parsed, err := config.Parse(document)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(config.Marshal(parsed)).To(Equal(document))

		for name, into := range map[string]settings.Checked{
			formats.ControlSettingsFile: &control.Settings{}, formats.SchedulerSettingsFile: schedulerd.Defaults(),
			formats.WorkerSettingsFile: fakeworker.Defaults(),
		} {
			g.Expect(settings.Load(filepath.Join(dir, name), into)).To(Succeed())
		}
	})
}

// Guards against a replica of a test system that starts after an upgrade without the
// decision that its state may be lost, and against a refusal that doesn't name it.
func TestSingleReplicaOfV1IsRefused(t *testing.T) {
	err := settings.Load(filepath.Join("testdata", "v1", formats.SingleReplicaSettingsFile), &control.Settings{})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("set state_may_be_lost for a test system")))
}

// Guards against a released field whose number, type or name is changed, or whose
// number is used again.
func TestReleasedFieldsStay(t *testing.T) {
	eachVersion(t, func(g Gomega, dir string) {
		data, err := os.ReadFile(filepath.Join(dir, formats.FieldsFile))
		g.Expect(err).NotTo(HaveOccurred())
		today := formats.Fields()
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			if slices.Contains(today, line) {
				continue
			}
			var name string
			var number int
			_, err := fmt.Sscanf(line, "field %s %d", &name, &number)
			g.Expect(err == nil && formats.Reserved(name, number)).To(BeTrue(),
				"%q is released; restore it, or reserve the number and the name of a removed protobuf field", line)
		}
	})
}
