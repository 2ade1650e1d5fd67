package e2e_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/issuer"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// fleetKeys are the keys of a secured fleet; nil stands for a fleet without.
type fleetKeys struct {
	dir       string
	authority *issuer.Authority
	issued    map[transport.Identity]transport.Settings
	err       error
}

func (f *fleet) makeKeys() error {
	if !f.secured {
		return nil
	}
	f.keys = &fleetKeys{dir: f.dir, issued: map[transport.Identity]transport.Settings{}}
	return f.keys.replace("ca-1")
}

// replace makes a new authority, lets everybody trust it besides the former one,
// and then issues all certificates anew.
func (k *fleetKeys) replace(name string) error {
	former := k.authority
	if k.authority, k.err = issuer.Create(filepath.Join(k.dir, name), name, time.Hour); k.err != nil {
		return k.err
	}
	trusted := k.authority.PEM
	if former != nil {
		trusted = append(trusted, former.PEM...)
	}
	if err := os.WriteFile(k.ca(), trusted, 0o600); err != nil {
		return err
	}
	if former != nil {
		time.Sleep(3 * time.Second)
	}
	for who, files := range k.issued {
		if err := k.authority.Issue(files, who, time.Hour); err != nil {
			return err
		}
	}
	return nil
}

func (k *fleetKeys) ca() string { return filepath.Join(k.dir, "ca.pem") }

func (k *fleetKeys) of(role transport.Role, name string) *transport.Settings {
	if k == nil {
		return nil
	}
	who := transport.Identity{Role: role, Name: name}
	files := transport.Settings{
		CertFile: filepath.Join(k.dir, name+".pem"), KeyFile: filepath.Join(k.dir, name+".key"), CAFile: k.ca(),
	}
	k.issued[who] = files
	if err := k.authority.Issue(files, who, time.Hour); err != nil {
		k.err = err
	}
	return &files
}

// caller returns a client without a certificate that expects a gateway.
func (k *fleetKeys) caller() *http.Client {
	if k == nil {
		return http.DefaultClient
	}
	return &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
			return d.DialContext(ctx, network, address)
		},
	}}
}

// secureOperator gives the operator's client of the fleet its certificate.
func (f *fleet) secureOperator() error {
	if f.keys == nil {
		return nil
	}
	keys, err := transport.LoadKeys(f.keys.of(transport.RoleOperator, "e2e"), zerolog.Nop())
	f.client.HTTP = transport.NewClient(transport.ClientOptions{Keys: keys, Peers: []transport.Role{transport.RoleGateway}})
	if err == nil {
		err = f.keys.err
	}
	return err
}

// operatorFlags are the flags of geranium that name the operator's keys.
func (f *fleet) operatorFlags() []string {
	if f.keys == nil {
		return nil
	}
	files := f.keys.of(transport.RoleOperator, "e2e")
	return []string{"-cert", files.CertFile, "-key", files.KeyFile, "-ca", files.CAFile}
}

// TestSecuredFleet guards against a fleet under mutual TLS that doesn't serve, that
// answers a peer without a valid certificate, and that loses a request while all
// certificates and the authority are replaced.
func TestSecuredFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	l := smallLayout()
	l.secured = true
	f, err := newFleet(t.TempDir(), l)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.killAll()
	g.Expect(f.start(ctx)).To(Succeed())
	g.Expect(f.applyExample()).To(Succeed())
	d := newDriver(f.gatewayAddresses())
	d.http = f.keys.caller()
	g.Eventually(func() workerapi.Outcome { return d.call(ctx, "quote-check", "", `{"work_ms":5}`).outcome }).
		WithTimeout(20 * time.Second).Should(Equal(workerapi.OutcomeDone))
	g.Expect(d.call(ctx, "stock-hold", "hold-1", `{"work_ms":5}`).outcome).To(Equal(workerapi.OutcomeDone))
	_, err = d.submit(ctx, "task-1", planning("cutting-plan", 200))
	g.Expect(err).NotTo(HaveOccurred())
	audit, err := f.geranium(nil, "audit", "-action", "config.apply")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(audit).To(ContainSubstring("e2e"))
	_, err = f.geranium(nil, "-operator", "anna", "history")
	g.Expect(err).To(MatchError(ContainSubstring("leave out the header")))
	f.expectRefusals(g)

	d = newDriver(f.gatewayAddresses())
	d.http = f.keys.caller()
	traffic, endTraffic := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		every(traffic, 10*time.Millisecond, 1<<20, func(int) { d.call(ctx, "quote-check", "", `{"work_ms":5}`) })
	}()
	g.Expect(f.keys.replace("ca-2")).To(Succeed())
	time.Sleep(4 * time.Second)
	g.Expect(os.WriteFile(f.keys.ca(), f.keys.authority.PEM, 0o600)).To(Succeed())
	time.Sleep(8 * time.Second)
	endTraffic()
	<-done
	for _, c := range d.calls {
		g.Expect(c.outcome).To(Equal(workerapi.OutcomeDone), "%s status %d: %s", c.kind, c.status, c.body)
	}
	g.Expect(len(d.calls)).To(BeNumerically(">", 500))
	_, err = f.geranium(nil, "status")
	g.Expect(err).NotTo(HaveOccurred())
}

// expectRefusals calls every kind of process without a certificate.
func (f *fleet) expectRefusals(g *WithT) {
	caller := f.keys.caller()
	for _, name := range []string{controlName(0), schedulerName("bern-a", 0), workerName("bern-a", 0)} {
		_, err := caller.Get("http://" + f.addresses[name] + "/")
		g.Expect(err).To(HaveOccurred(), name)
	}
	gateway := f.addresses[gatewayName("bern-a", 0)]
	answer, err := caller.Get("http://" + gateway + "/v1/operator/status")
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	g.Expect(answer.StatusCode).To(Equal(http.StatusForbidden), string(body))
}
