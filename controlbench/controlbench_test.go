//go:build bench

package controlbench_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"geraniumwall/controlbench"
)

// processes runs the built geranium-control.
type processes struct {
	binary  string
	running map[int]*exec.Cmd
}

func (p *processes) Start(i int, settings string) error {
	p.running[i] = exec.Command(p.binary, "-settings", settings)
	return p.running[i].Start()
}

func (p *processes) Kill(i int) error {
	if err := p.running[i].Process.Kill(); err != nil {
		return err
	}
	_ = p.running[i].Wait()
	return nil
}

func (p *processes) PID(i int) int { return p.running[i].Process.Pid }

// TestControlBench prints the figures of three control replicas.
func TestControlBench(t *testing.T) {
	binary := filepath.Join(os.Getenv("GERANIUM_BIN"), "geranium-control")
	if err := controlbench.Run(t.TempDir(), &processes{binary: binary, running: map[int]*exec.Cmd{}}, os.Stdout); err != nil {
		t.Fatal(err)
	}
}
