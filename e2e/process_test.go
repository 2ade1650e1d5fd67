package e2e_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	stopTimeout = 20 * time.Second
	envBinaries = "GERANIUM_BIN"
)

// process is one running daemon of a fleet.
type process struct {
	name     string
	binary   string
	settings string
	logFile  string
	// binaries is the directory of another version's binaries; empty for this one's.
	binaries string
	// maxFiles limits the open files of the process; 0 leaves the limit of the test.
	maxFiles int
	// starts counts the starts of the process.
	starts  int
	command *exec.Cmd
	exit    *exit
}

// exit is the end of one run of a process; err is set before done is closed.
type exit struct {
	done chan struct{}
	err  error
}

// newProcess writes the settings of a process; start starts it.
func newProcess(dir, binary, name string, settings any) (*process, error) {
	document, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, binary: binary,
		settings: filepath.Join(dir, name+".json"),
		logFile:  filepath.Join(dir, name+".log"),
	}
	return p, os.WriteFile(p.settings, document, 0o600)
}

func binaryPath(name string) string {
	dir := os.Getenv(envBinaries)
	if dir == "" {
		dir = filepath.Join("..", "bin")
	}
	return filepath.Join(dir, name)
}

func (p *process) start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	path := binaryPath(p.binary)
	if p.binaries != "" {
		path = filepath.Join(p.binaries, p.binary)
	}
	p.command = exec.Command(path, "-settings", p.settings)
	if p.maxFiles > 0 {
		limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.maxFiles)
		p.command = exec.Command("sh", "-c", limited, path, "-settings", p.settings)
	}
	p.starts++
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w; run make build first", p.name, err)
	}
	e := &exit{done: make(chan struct{})}
	p.exit = e
	go func(c *exec.Cmd) {
		e.err = c.Wait()
		close(e.done)
	}(p.command)
	return nil
}

func (p *process) running() bool { return p.command != nil }

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Kill()
	<-p.exit.done
	p.command = nil
}

// stop asks for a graceful shutdown and returns the error of a bad exit.
func (p *process) stop() error {
	if !p.running() {
		return nil
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exit.done:
		p.command = nil
		return p.exit.err
	case <-time.After(stopTimeout):
		p.kill()
		return errors.New(p.name + " did not stop after SIGTERM")
	}
}

// freeze stops the process as a frozen host would; thaw lets it run on.
func (p *process) freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }
func (p *process) thaw()   { _ = p.command.Process.Signal(syscall.SIGCONT) }
