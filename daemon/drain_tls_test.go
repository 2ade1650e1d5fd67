package daemon_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/issuer"
	"geraniumwall/transport"
)

// issueKeys returns keys of a new CA.
func issueKeys() *transport.Keys {
	dir := GinkgoT().TempDir()
	authority, err := issuer.Create(filepath.Join(dir, "authority"), "test", time.Hour)
	Expect(err).NotTo(HaveOccurred())
	files := transport.Settings{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	}
	Expect(os.WriteFile(files.CAFile, authority.PEM, 0o600)).To(Succeed())
	identity := transport.Identity{Role: transport.RoleControl, Name: "c"}
	Expect(authority.Issue(files, identity, time.Hour)).To(Succeed())
	keys, err := transport.LoadKeys(&files, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	return keys
}

func serveSecure(keys *transport.Keys, handler http.HandlerFunc) *daemon.Server {
	s, err := daemon.ListenSecure(context.Background(), "127.0.0.1:0", handler, keys, transport.ClientsOptional)
	Expect(err).NotTo(HaveOccurred())
	s.Serve()
	return s
}

var _ = Describe("Drain with TLS", func() {
	It("answers a slow HTTP/1 request and closes an idle connection", func() {
		s := serveSecure(issueKeys(), func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
		connect := func() *tls.Conn {
			c, err := tls.Dial("tcp", s.Address(), &tls.Config{InsecureSkipVerify: true})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			write(c, getRequest)
			Expect(readResponse(c).Close).To(BeFalse())
			return c
		}
		idle, slow := connect(), connect()
		write(slow, getRequest[:5])
		reports := startDrain(s, daemon.DrainOptions{Within: 5 * time.Second})
		time.Sleep(600 * time.Millisecond)
		write(slow, getRequest[5:])
		Expect(readResponse(slow).Close).To(BeTrue())
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		report := <-reports
		Expect(report.Answered).To(Equal(1))
		Expect(report.Duration).To(BeNumerically("<", 2*time.Second))
	})

	It("loses no HTTP/2 stream", func() {
		keys := issueKeys()
		s := serveSecure(keys, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			io.Copy(w, r.Body)
		})
		client := transport.NewClient(transport.ClientOptions{Keys: keys})
		var answered atomic.Int64
		var lost sync.Map
		var senders sync.WaitGroup
		for range 20 {
			senders.Go(func() {
				for sendUntilRefused(client, s.Address(), &answered, &lost) {
				}
			})
		}
		Eventually(answered.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", 100))
		s.Drain(daemon.DrainOptions{Notice: 200 * time.Millisecond, Within: 5 * time.Second})
		senders.Wait()
		lost.Range(func(key, _ any) bool { Fail("lost: " + key.(string)); return false })
	})
})
