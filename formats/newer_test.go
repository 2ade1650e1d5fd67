package formats_test

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/control"
	"geraniumwall/formats"
	"geraniumwall/settings"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
	"geraniumwall/wal"
)

// Guards against a downgraded control replica that takes newer files for damaged
// ones and tells its operator to replace them.
func TestNewerDataDirectoryIsRefused(t *testing.T) {
	Expect := NewWithT(t).Expect
	work := t.TempDir()
	Expect(os.CopyFS(work, os.DirFS(filepath.Join("testdata", "v1", formats.ReplicaDir)))).To(Succeed())
	path := filepath.Join(work, "identity")
	identity, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	binary.LittleEndian.PutUint32(identity[4:], 2)
	sum := crc32.Checksum(identity[:16], crc32.MakeTable(crc32.Castagnoli))
	binary.LittleEndian.PutUint32(identity[16:], sum)
	Expect(os.WriteFile(path, identity, 0o600)).To(Succeed())
	_, err = formats.ReadReplica(work)
	Expect(err).To(Equal(&wal.VersionError{Stored: 2}))
	Expect(err).To(MatchError(ContainSubstring("start the newer version that wrote it")))
}

// Guards against a command or snapshot of a later format that is applied with the
// fields that this version knows, which would make the replicas differ.
func TestNewerStateIsRefused(t *testing.T) {
	Expect := NewWithT(t).Expect
	command, err := state.Encode(&statepb.Command{
		Format: state.Format + 1, Kind: &statepb.Command_ReplicaJoined{ReplicaJoined: &statepb.ReplicaJoined{Id: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	_, err = state.Decode(command)
	Expect(err).To(MatchError(ContainSubstring("upgrade this replica")))
	snapshot, err := state.EncodeSnapshot(&statepb.Snapshot{Format: state.Format + 1})
	Expect(err).NotTo(HaveOccurred())
	_, err = state.Restore(snapshot)
	Expect(err).To(MatchError(ContainSubstring("upgrade this replica")))
}

// Guards against an error about unknown fields where the format is the cause.
func TestNewerDocumentsAreRefused(t *testing.T) {
	Expect := NewWithT(t).Expect
	_, err := config.Parse([]byte(`{"format":2,"regions":[]}`))
	Expect(err).To(MatchError(ContainSubstring("finish the upgrade of every process")))
	err = settings.Parse("file", []byte(`{"format":2,"zone":"a"}`), &control.Settings{})
	Expect(err).To(MatchError(ContainSubstring("start the version that the settings were written for")))
	err = settings.Parse("file", []byte(`{"format":1,"name":"control-1"}`), &control.Settings{})
	Expect(err).NotTo(MatchError(ContainSubstring("format")))
}
