package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// reloadEvery is the interval at which the files are compared with those in force.
	reloadEvery = 2 * time.Second
	// A certificate is reported that long before it expires, and so often.
	expiryNotice = 72 * time.Hour
	expiryRepeat = time.Hour
	// refusalsLogged bounds the refused peers in the log for each second.
	refusalsLogged = 5
)

// Keys are the certificate of a process and the CAs that it trusts. A nil *Keys
// stands for traffic without encryption.
type Keys struct {
	settings Settings
	log      zerolog.Logger
	refused  zerolog.Logger
	current  atomic.Pointer[material]

	mu      sync.Mutex
	tried   files
	failed  string
	warned  time.Time
	changed []func()
}

// material is one state of the files.
type material struct {
	certificate tls.Certificate
	pool        *x509.CertPool
	identity    Identity
}

// LoadKeys reads the files. It returns nil keys for nil settings. Errors name the
// remedy and never the content of a file.
func LoadKeys(s *Settings, log zerolog.Logger) (*Keys, error) {
	if s == nil {
		return nil, nil
	}
	k := &Keys{
		settings: *s, log: log,
		refused: log.Sample(&zerolog.BurstSampler{Burst: refusalsLogged, Period: time.Second}),
	}
	if _, err := k.load(); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return k, nil
}

// Identity returns the role and name in the own certificate.
func (k *Keys) Identity() Identity { return k.current.Load().identity }

// Watch puts changed files in force until ctx is over, at the latest 2 s after a
// change and at once after SIGHUP. Broken files leave the old ones in force.
func (k *Keys) Watch(ctx context.Context) {
	if k == nil {
		return
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		k.Reload()
	}
}

// Reload puts the files in force if they have changed since they were last read.
func (k *Keys) Reload() {
	changed, err := k.load()
	if err != nil {
		k.log.Error().Err(err).Msg("changed tls files refused, the former stay in force; correct the files")
	}
	for _, f := range changed {
		f()
	}
	k.warnOfExpiry()
}

// load returns the functions to call if other keys are in force now.
func (k *Keys) load() (changed []func(), err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	read, err := k.settings.read()
	if err != nil {
		repeated := err.Error() == k.failed
		k.failed = err.Error()
		if repeated {
			return nil, nil
		}
		return nil, err
	}
	if k.failed = ""; read == k.tried {
		return nil, nil
	}
	k.tried = read
	next, err := parse(read)
	if err != nil {
		return nil, err
	}
	if former := k.current.Swap(next); former == nil {
		return nil, nil
	}
	k.log.Info().Time("expires", next.certificate.Leaf.NotAfter).Stringer("identity", next.identity).Msg("tls files reloaded")
	return slices.Clone(k.changed), nil
}

// OnChange calls f after each change of the keys. A nil *Keys never changes.
func (k *Keys) OnChange(f func()) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed = append(k.changed, f)
}

// parse checks that the files belong together: peers would refuse anything else.
func parse(f files) (*material, error) {
	pair, err := tls.X509KeyPair([]byte(f.cert), []byte(f.key))
	if err != nil {
		return nil, fmt.Errorf("cert_file and key_file: %w; use a certificate and its own key, both in PEM", err)
	}
	m := &material{certificate: pair, pool: x509.NewCertPool()}
	if !m.pool.AppendCertsFromPEM([]byte(f.ca)) {
		return nil, fmt.Errorf("ca_file holds no certificate; use the certificates of the CAs in PEM")
	}
	chain := []*x509.Certificate{pair.Leaf}
	for _, der := range pair.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("cert_file: %w; remove the broken certificate", err)
		}
		chain = append(chain, c)
	}
	m.identity, err = verify(chain, m.pool, nil)
	if err != nil {
		return nil, fmt.Errorf("cert_file: %w", err)
	}
	return m, nil
}

func (k *Keys) warnOfExpiry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	end := k.current.Load().certificate.Leaf.NotAfter
	if time.Until(end) < expiryNotice && time.Since(k.warned) > expiryRepeat {
		k.warned = time.Now()
		k.log.Warn().Time("expires", end).Msg("the certificate of this process expires soon; replace cert_file and key_file")
	}
}
