package transport_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"geraniumwall/issuer"
	"geraniumwall/transport"
)

// authority is a CA that issues certificates with the name p1.
type authority struct{ *issuer.Authority }

func newAuthority(t *testing.T) *authority {
	a, err := issuer.Create(filepath.Join(t.TempDir(), "ca"), "test", time.Hour)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return &authority{a}
}

// issue writes the certificate, key and CA files of a peer that trusts the given CAs.
func (a *authority) issue(t *testing.T, files transport.Settings, role transport.Role, lifetime time.Duration, trusted ...*authority) {
	g := NewWithT(t)
	var cas []byte
	for _, ca := range trusted {
		cas = append(cas, ca.PEM...)
	}
	g.Expect(os.WriteFile(files.CAFile, cas, 0o600)).To(Succeed())
	g.Expect(a.Issue(files, transport.Identity{Role: role, Name: "p1"}, lifetime)).To(Succeed())
}

// newPeer issues a certificate for a peer that trusts a and the given CAs. It returns
// the loaded keys and the paths of their files.
func (a *authority) newPeer(t *testing.T, role transport.Role, lifetime time.Duration, log io.Writer, trusted ...*authority) (*transport.Keys, transport.Settings) {
	dir := t.TempDir()
	files := transport.Settings{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	}
	a.issue(t, files, role, lifetime, append(trusted, a)...)
	keys, err := transport.LoadKeys(&files, zerolog.New(log))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return keys, files
}

// startServer starts a server with the role control on which only schedulers may call
// /step/. The response contains the protocol and the identity of the client.
func (a *authority) startServer(t *testing.T, clients transport.Clients) (address string, keys *transport.Keys, files transport.Settings, log *gbytes.Buffer) {
	log = gbytes.NewBuffer()
	keys, files = a.newPeer(t, transport.RoleControl, time.Hour, log)
	handler := keys.Admit(transport.Rules{"/step/": {transport.RoleScheduler}}, http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			identity, _ := transport.Peer(r)
			time.Sleep(time.Millisecond)
			if err := transport.CheckName(r.Context(), r.URL.Query().Get("as")); r.URL.Query().Has("as") && err != nil {
				http.Error(w, err.Error(), http.StatusForbidden)
				return
			}
			io.WriteString(w, r.Proto+" "+identity.String())
		}))
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewSecureServer(handler, keys, clients)
	go server.Config.ServeTLS(server.Listener, "", "")
	t.Cleanup(func() { server.Config.Close() })
	return server.Listener.Addr().String(), keys, files, log
}

func newClient(keys *transport.Keys, peers ...transport.Role) *http.Client {
	return transport.NewClient(transport.ClientOptions{Keys: keys, Peers: peers, Timeout: 5 * time.Second})
}

// TestUntrustedPeers guards against requests that succeed although the certificate of
// the peer was issued by an unknown CA, has the wrong role or name, or has expired since
// the connection was opened, and against a log that does not name the cause.
func TestUntrustedPeers(t *testing.T) {
	g := NewWithT(t)
	ca, otherCA := newAuthority(t), newAuthority(t)
	address, _, _, log := ca.startServer(t, transport.ClientsRequired)
	trusted, _ := ca.newPeer(t, transport.RoleScheduler, time.Hour, io.Discard)
	g.Expect(get(newClient(trusted, transport.RoleControl), address+"/step/x")).To(Equal("HTTP/2.0 scheduler p1"))
	g.Expect(get(transport.NewCommandClient(transport.ClientOptions{Keys: trusted}), address+"/step/x")).To(HavePrefix("HTTP/1.1"))

	g.Expect(get(newClient(trusted), address+"/step/x?as=p1")).To(HavePrefix("HTTP/2.0"))
	g.Expect(get(newClient(trusted), address+"/step/x?as=p2")).To(ContainSubstring(`does not permit to act as "p2"`))
	g.Expect(transport.CheckName(t.Context(), "any")).To(Succeed(), "without keys")

	_, err := get(newClient(trusted, transport.RoleGateway), address+"/step/x")
	g.Expect(err).To(MatchError(ContainSubstring("the role must be gateway")))
	response, err := http.DefaultClient.Get("http://" + address + "/step/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest), "plain HTTP on a TLS port")
	response.Body.Close()

	untrusted, _ := otherCA.newPeer(t, transport.RoleScheduler, time.Hour, io.Discard, ca)
	optionalAddress, _, _, _ := ca.startServer(t, transport.ClientsOptional)
	for _, a := range []string{address, optionalAddress} {
		_, err = get(newClient(untrusted), a+"/step/x")
		g.Expect(err).To(HaveOccurred())
	}
	g.Eventually(func() string { return string(log.Contents()) }).Should(And(ContainSubstring("signed by unknown authority"), ContainSubstring("127.0.0.1:")))

	shortLived, _ := ca.newPeer(t, transport.RoleScheduler, 1500*time.Millisecond, io.Discard)
	c := newClient(shortLived)
	g.Expect(get(c, address+"/step/x")).To(ContainSubstring("scheduler p1"))
	time.Sleep(2 * time.Second)
	g.Expect(get(c, address+"/step/x")).To(ContainSubstring("Certificate refused"), "open connection, certificate expired since")
	_, err = get(newClient(shortLived), address+"/step/x")
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() string { return string(log.Contents()) }).Should(ContainSubstring("expired"))
	g.Expect(string(log.Contents())).NotTo(ContainSubstring("PRIVATE"))
}

// TestRoles guards against a worker that may call a path reserved for schedulers or a
// path without a rule, and against certificates with an unknown role.
func TestRoles(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(t)
	address, _, _, log := ca.startServer(t, transport.ClientsRequired)
	worker, _ := ca.newPeer(t, transport.RoleWorker, time.Hour, io.Discard)
	for _, path := range []string{"/step/x", "/other"} {
		g.Expect(get(newClient(worker), address+path)).To(ContainSubstring("worker p1 may not call " + path))
	}
	g.Expect(string(log.Contents())).To(ContainSubstring("worker p1 may not call"))

	_, files := ca.newPeer(t, transport.RoleWorker, time.Hour, io.Discard)
	ca.issue(t, files, "janitor", time.Hour, ca)
	_, err := transport.LoadKeys(&files, zerolog.Nop())
	g.Expect(err).To(MatchError(ContainSubstring("exactly one OU")))
}

// TestReload guards against requests that fail while the certificates and the CA are
// rotated, and against a removed CA whose certificates are still accepted.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	oldCA, newCA := newAuthority(t), newAuthority(t)
	address, serverKeys, serverFiles, _ := oldCA.startServer(t, transport.ClientsRequired)
	clientKeys, clientFiles := oldCA.newPeer(t, transport.RoleScheduler, time.Hour, io.Discard)
	unchanged, _ := oldCA.newPeer(t, transport.RoleScheduler, time.Hour, io.Discard)
	unchangedClient := newClient(unchanged)
	g.Expect(get(unchangedClient, address+"/step/x")).To(ContainSubstring("scheduler p1"))
	c := newClient(clientKeys)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	for range 8 {
		requests.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if body, err := get(c, address+"/step/x"); err != nil || body != "HTTP/2.0 scheduler p1" {
					t.Errorf("request failed during the rotation: %q %v", body, err)
				}
			}
		})
	}
	rotate := func(issuer *authority, trusted ...*authority) {
		issuer.issue(t, serverFiles, transport.RoleControl, time.Hour, trusted...)
		serverKeys.Reload()
		issuer.issue(t, clientFiles, transport.RoleScheduler, time.Hour, trusted...)
		clientKeys.Reload()
		time.Sleep(100 * time.Millisecond)
	}
	rotate(oldCA, oldCA)
	rotate(oldCA, oldCA, newCA)
	rotate(newCA, oldCA, newCA)
	rotate(newCA, newCA)
	close(stop)
	requests.Wait()
	g.Expect(get(unchangedClient, address+"/step/x")).To(ContainSubstring("Certificate refused"), "open connection, CA removed since")
	_, err := get(newClient(unchanged), address+"/step/x")
	g.Expect(err).To(HaveOccurred())
}

// TestInvalidFiles guards against an invalid file that replaces valid keys on a reload,
// and against an error without a remedy.
func TestInvalidFiles(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(t)
	address, _, _, _ := ca.startServer(t, transport.ClientsRequired)
	log := gbytes.NewBuffer()
	keys, files := ca.newPeer(t, transport.RoleScheduler, time.Hour, log)
	for _, path := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		valid, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(path, []byte("broken"), 0o600)).To(Succeed())
		keys.Reload()
		g.Expect(string(log.Contents())).To(ContainSubstring("the previous ones stay in use"))
		g.Expect(get(newClient(keys), address+"/step/x")).To(ContainSubstring("scheduler p1"))
		_, err = transport.LoadKeys(&files, zerolog.Nop())
		g.Expect(err).To(MatchError(ContainSubstring("; use ")))
		g.Expect(os.WriteFile(path, valid, 0o600)).To(Succeed())
		keys.Reload()
	}
	g.Expect(os.Remove(files.CertFile)).To(Succeed())
	_, err := transport.LoadKeys(&files, zerolog.Nop())
	g.Expect(err).To(MatchError(ContainSubstring("specify a file that this process can read")))
}

// Guards against new files that wait for the next check although a reload was requested.
func TestRequestedReloadIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		authority, log := newAuthority(t), gbytes.NewBuffer()
		keys, files := authority.newPeer(t, transport.RoleControl, time.Hour, log)
		reloads := make(chan struct{}, 1)
		ctx, stop := context.WithCancel(t.Context())
		var watch sync.WaitGroup
		watch.Go(func() { keys.Watch(ctx, reloads) })
		authority.issue(t, files, transport.RoleControl, 2*time.Hour, authority)
		start := time.Now()
		reloads <- struct{}{}
		synctest.Wait()
		g.Expect(string(log.Contents())).To(ContainSubstring("tls files reloaded"))
		g.Expect(time.Since(start)).To(BeZero())
		stop()
		watch.Wait()
	})
}
