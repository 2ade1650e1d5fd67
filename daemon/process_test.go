package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/settings"
)

const (
	// variableMode makes the test binary a daemon that runs one of the modes.
	variableMode = "GERANIUM_TEST_DAEMON"
	// variableStderr lets it write its logs to standard error.
	variableStderr = "GERANIUM_TEST_STDERR"
	// endWithin is the time after which a daemon counts as still running.
	endWithin = 5 * time.Second
	drainTime = 300 * time.Millisecond
	// manyLines are more than a pipe holds.
	manyLines = 5000
)

type testSettings struct {
	Value string `json:"value"`
}

func (s *testSettings) Check(c *settings.Checker) { c.Required("value", s.Value) }

type runFunc func(ctx context.Context, log zerolog.Logger, file string) error

var modes = map[string]runFunc{
	"wait":  waitForStop,
	"lines": logLines,
	"fail": func(_ context.Context, log zerolog.Logger, _ string) error {
		log.Info().Msg("the line before")
		return errors.New("the disk is on fire")
	},
	"panic": func(_ context.Context, log zerolog.Logger, _ string) error {
		log.Info().Msg("the line before")
		panic("broken invariant of the test")
	},
	"panic elsewhere": func(ctx context.Context, log zerolog.Logger, file string) error {
		go func() { panic("broken invariant of the test") }()
		return waitForStop(ctx, log, file)
	},
	"panic in handler": servePanic,
	"drain":            drainSlowly,
	"reload":           reload,
}

func waitForStop(ctx context.Context, log zerolog.Logger, _ string) error {
	log.Info().Msg("running")
	<-ctx.Done()
	return nil
}

// drainSlowly takes a while for its graceful shutdown.
func drainSlowly(ctx context.Context, log zerolog.Logger, file string) error {
	err := waitForStop(ctx, log, file)
	time.Sleep(drainTime)
	return err
}

// reload logs the settings after each reload.
func reload(ctx context.Context, log zerolog.Logger, file string) error {
	reloads := daemon.Reloads[testSettings](ctx, file, log)
	log.Info().Msg("running")
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-reloads:
			log.Info().Str("value", s.Value).Msg("reloaded")
		}
	}
}

func logLines(ctx context.Context, log zerolog.Logger, file string) error {
	for range manyLines {
		log.Info().Str("filler", strings.Repeat("x", 100)).Msg("line")
	}
	return waitForStop(ctx, log, file)
}

func servePanic(ctx context.Context, log zerolog.Logger, file string) error {
	server, err := daemon.Listen(ctx, "127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic("broken handler of the test")
	}))
	if err != nil {
		return err
	}
	server.Serve()
	if response, err := http.Get("http://" + server.Address()); err == nil {
		response.Body.Close()
	}
	return waitForStop(ctx, log, file)
}

func TestMain(m *testing.M) {
	mode := os.Getenv(variableMode)
	if mode == "" {
		os.Exit(m.Run())
	}
	logs := os.Stdout
	if os.Getenv(variableStderr) != "" {
		logs = os.Stderr
	}
	daemon.MainWith(daemon.Options{Name: "test", File: os.Getenv("GERANIUM_TEST_SETTINGS"), Logs: logs}, &testSettings{}, modes[mode])
}

// child is a daemon that runs as a process of its own.
type child struct {
	*exec.Cmd
	out    *os.File
	errors bytes.Buffer
	ended  chan error
}

func startChild(t *testing.T, mode string) *child {
	t.Helper()
	return startChildWith(t, mode, writeSettings(t, filepath.Join(t.TempDir(), "settings.json"), `{"value":"v"}`))
}

func writeSettings(t *testing.T, file, document string) string {
	t.Helper()
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func startChildWith(t *testing.T, mode, settingsFile string) *child {
	t.Helper()
	out, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c := &child{Cmd: exec.Command(os.Args[0]), out: out, ended: make(chan error, 1)}
	c.Env = append(os.Environ(), variableMode+"="+mode, "GERANIUM_TEST_SETTINGS="+settingsFile)
	c.Stdout, c.Stderr = in, &c.errors
	if os.Getenv(variableStderr) != "" {
		c.Stdout, c.Stderr = nil, in
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	in.Close()
	go func() { c.ended <- c.Wait() }()
	t.Cleanup(func() {
		_ = c.Process.Kill()
		out.Close()
	})
	return c
}

// waitForLine reads up to the first line that contains text.
func (c *child) waitForLine(g *WithT, text string) {
	g.Expect(c.out.SetReadDeadline(time.Now().Add(endWithin))).To(Succeed())
	var line []byte
	for b := make([]byte, 1); ; {
		_, err := c.out.Read(b)
		g.Expect(err).NotTo(HaveOccurred(), "no line with %q", text)
		if line = append(line, b[0]); b[0] != '\n' {
			continue
		}
		if bytes.Contains(line, []byte(text)) {
			return
		}
		line = line[:0]
	}
}

func (c *child) signal(g *WithT, s syscall.Signal) { g.Expect(c.Process.Signal(s)).To(Succeed()) }

// expectExit expects that the process ends by itself with the code.
func (c *child) expectExit(g *WithT, code int) {
	g.Eventually(c.ended).WithTimeout(endWithin).Should(Receive(), "the process has not ended")
	g.Expect(c.ProcessState.ExitCode()).To(Equal(code), "%s: %s", c.ProcessState, c.errors.String())
}

// lastLine reads the rest of the output and returns the last line.
func (c *child) lastLine(g *WithT) string {
	g.Expect(c.out.SetReadDeadline(time.Time{})).To(Succeed())
	var last string
	lines := bufio.NewScanner(c.out)
	for lines.Scan() {
		last = lines.Text()
	}
	g.Expect(lines.Err()).NotTo(HaveOccurred())
	return last
}

// Guards against a process that ends without a line that says why.
func TestLastLineSaysWhatEndedTheProcess(t *testing.T) {
	t.Run("stop", func(t *testing.T) {
		g := NewWithT(t)
		c := startChild(t, "wait")
		c.waitForLine(g, "running")
		c.signal(g, syscall.SIGTERM)
		c.expectExit(g, 0)
		g.Expect(c.lastLine(g)).To(ContainSubstring("daemon stopped"))
	})
	t.Run("failure", func(t *testing.T) {
		g := NewWithT(t)
		c := startChild(t, "fail")
		c.waitForLine(g, "the line before")
		c.expectExit(g, daemon.ExitFailure)
		g.Expect(c.lastLine(g)).To(And(ContainSubstring("daemon failed"), ContainSubstring("the disk is on fire")))
	})
	t.Run("settings", func(t *testing.T) {
		g := NewWithT(t)
		c := startChildWith(t, "wait", "missing.json")
		c.expectExit(g, daemon.ExitUsage)
		g.Expect(c.errors.String()).To(ContainSubstring("pass the path of a settings file"))
		g.Expect(c.lastLine(g)).To(And(ContainSubstring("daemon failed"), ContainSubstring("missing.json")))
	})
}

// Guards against a last line that stays behind those that a slow reader has not read.
func TestLastLineReachesASlowReader(t *testing.T) {
	g := NewWithT(t)
	c := startChild(t, "lines")
	c.waitForLine(g, "filler")
	g.Expect(c.out.SetReadDeadline(time.Time{})).To(Succeed())
	read := make(chan string, 1)
	go func() {
		var all bytes.Buffer
		for {
			n, err := io.CopyN(&all, c.out, 4096)
			if n == 0 && err != nil {
				read <- all.String()
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	time.Sleep(100 * time.Millisecond)
	c.signal(g, syscall.SIGTERM)
	c.expectExit(g, 0)
	var all string
	g.Eventually(read).WithTimeout(endWithin).Should(Receive(&all))
	g.Expect(all).To(MatchRegexp(`daemon stopped"}\n$`))
}

// Guards against a process that does not end, or is stopped by its logs, while nobody
// reads its standard output.
func TestProcessEndsWhenNobodyReadsItsLogs(t *testing.T) {
	g := NewWithT(t)
	c := startChild(t, "lines")
	c.waitForLine(g, "filler")
	time.Sleep(200 * time.Millisecond)
	c.signal(g, syscall.SIGTERM)
	c.expectExit(g, 0)
}

// Guards against lines that a panic takes along.
func TestPanicLeavesTheLinesBeforeIt(t *testing.T) {
	t.Run("of run", func(t *testing.T) {
		g := NewWithT(t)
		c := startChild(t, "panic")
		c.expectExit(g, 2)
		g.Expect(c.errors.String()).To(ContainSubstring("panic: broken invariant of the test"))
		g.Expect(c.lastLine(g)).To(ContainSubstring("the line before"))
	})
	t.Run("elsewhere", func(t *testing.T) {
		g := NewWithT(t)
		c := startChild(t, "panic elsewhere")
		c.expectExit(g, 2)
		g.Expect(c.errors.String()).To(ContainSubstring("panic: broken invariant of the test"))
	})
}

// Guards against panics of HTTP handlers that the logs do not show.
func TestPanicOfAHandlerIsLogged(t *testing.T) {
	g := NewWithT(t)
	c := startChild(t, "panic in handler")
	c.waitForLine(g, "broken handler of the test")
	c.waitForLine(g, "running")
	c.signal(g, syscall.SIGTERM)
	c.expectExit(g, 0)
}

// Guards against a process that a signal ends under the requests that it still answers.
func TestSignalsDuringAStop(t *testing.T) {
	g := NewWithT(t)
	c := startChild(t, "drain")
	c.waitForLine(g, "running")
	c.signal(g, syscall.SIGINT)
	c.waitForLine(g, `"signal":"SIGINT"`)
	c.signal(g, syscall.SIGHUP)
	c.waitForLine(g, `"signal":"SIGHUP"`)
	c.signal(g, syscall.SIGTERM)
	c.waitForLine(g, `"signal":"SIGTERM"`)
	c.expectExit(g, 0)
	g.Expect(c.lastLine(g)).To(And(ContainSubstring(`"signal":"SIGINT"`), MatchRegexp(`"took":[3-9]\d\d`), ContainSubstring("daemon stopped")))
}

// Guards against a process that an invalid settings file ends or leaves without settings.
func TestInvalidSettingsAreIgnoredOnReload(t *testing.T) {
	g := NewWithT(t)
	file := writeSettings(t, filepath.Join(t.TempDir(), "settings.json"), `{"value":"v"}`)
	c := startChildWith(t, "reload", file)
	c.waitForLine(g, "running")
	for _, document := range []string{
		"", "{", "null", "[]", `{"value":7}`, `{"value":1e400}`, `{"value":""}`, `{"format":99,"value":"v"}`, "\x00\xff",
		strings.Repeat(`{"value":`, 100_000), strings.Repeat("[", 1_000_000),
	} {
		writeSettings(t, file, document)
		c.signal(g, syscall.SIGHUP)
		c.waitForLine(g, "changed settings are ignored")
	}
	g.Expect(os.Remove(file)).To(Succeed())
	c.signal(g, syscall.SIGHUP)
	c.waitForLine(g, "changed settings are ignored")
	writeSettings(t, file, `{"value":"w"}`)
	c.signal(g, syscall.SIGHUP)
	c.waitForLine(g, `"value":"w"`)
	c.signal(g, syscall.SIGTERM)
	c.expectExit(g, 0)
}

// Guards against a process that ends because the reader of its standard output or
// standard error has gone.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	for name, variable := range map[string]string{"stdout": "", "stderr": "1"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			t.Setenv(variableStderr, variable)
			c := startChild(t, "wait")
			c.waitForLine(g, "running")
			g.Expect(c.out.Close()).To(Succeed())
			for range 3 {
				c.signal(g, syscall.SIGHUP)
				g.Consistently(c.ended).WithTimeout(drainTime).ShouldNot(Receive())
			}
			c.signal(g, syscall.SIGTERM)
			c.expectExit(g, 0)
		})
	}
}

// Guards against a process that can't be stopped while it waits for its settings.
func TestStopWhileSettingsAreLoaded(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
	c := startChildWith(t, "wait", file)
	opened, err := os.OpenFile(file, os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	defer opened.Close()
	c.signal(g, syscall.SIGTERM)
	c.expectExit(g, 0)
	g.Expect(c.lastLine(g)).To(And(ContainSubstring("daemon stopped"), ContainSubstring("SIGTERM")))
}
