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
	// reloadInterval is the interval at which the files are compared with those in force.
	reloadInterval = 2 * time.Second
	// A certificate is reported that long before it expires, and so often.
	expiryWarningPeriod   = 72 * time.Hour
	expiryWarningInterval = time.Hour
	// maxRefusalsLoggedPerSecond bounds the refused peers in the log for each second.
	maxRefusalsLoggedPerSecond = 5
)

// Keys are the certificate of a process and the CAs that it trusts. A nil *Keys
// stands for traffic without encryption.
type Keys struct {
	settings   Settings
	log        zerolog.Logger
	refusalLog zerolog.Logger
	current    atomic.Pointer[keyMaterial]

	mu                sync.Mutex
	lastRead          fileContents
	lastReadError     string
	lastExpiryWarning time.Time
	changeCallbacks   []func()
}

// keyMaterial is one state of the files.
type keyMaterial struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
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
		refusalLog: log.Sample(&zerolog.BurstSampler{Burst: maxRefusalsLoggedPerSecond, Period: time.Second}),
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
	ticker := time.NewTicker(reloadInterval)
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
	callbacks, err := k.load()
	if err != nil {
		k.log.Error().Err(err).Msg("changed tls files refused, the former stay in force; correct the files")
	}
	for _, callback := range callbacks {
		callback()
	}
	k.warnBeforeExpiry()
}

// load returns the functions to call if other keys are in force now.
func (k *Keys) load() (callbacks []func(), err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	contents, err := k.settings.readFiles()
	if err != nil {
		repeated := err.Error() == k.lastReadError
		k.lastReadError = err.Error()
		if repeated {
			return nil, nil
		}
		return nil, err
	}
	if k.lastReadError = ""; contents == k.lastRead {
		return nil, nil
	}
	k.lastRead = contents
	loaded, err := parseKeyMaterial(contents)
	if err != nil {
		return nil, err
	}
	if previous := k.current.Swap(loaded); previous == nil {
		return nil, nil
	}
	k.log.Info().Time("expires", loaded.certificate.Leaf.NotAfter).Stringer("identity", loaded.identity).Msg("tls files reloaded")
	return slices.Clone(k.changeCallbacks), nil
}

// OnChange calls f after each change of the keys. A nil *Keys never changes.
func (k *Keys) OnChange(callback func()) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changeCallbacks = append(k.changeCallbacks, callback)
}

// parseKeyMaterial checks that the files belong together: peers would refuse anything else.
func parseKeyMaterial(contents fileContents) (*keyMaterial, error) {
	certificate, err := tls.X509KeyPair([]byte(contents.cert), []byte(contents.key))
	if err != nil {
		return nil, fmt.Errorf("cert_file and key_file: %w; use a certificate and its own key, both in PEM", err)
	}
	material := &keyMaterial{certificate: certificate, caPool: x509.NewCertPool()}
	if !material.caPool.AppendCertsFromPEM([]byte(contents.ca)) {
		return nil, fmt.Errorf("ca_file holds no certificate; use the certificates of the CAs in PEM")
	}
	chain := []*x509.Certificate{certificate.Leaf}
	for _, der := range certificate.Certificate[1:] {
		intermediate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("cert_file: %w; remove the broken certificate", err)
		}
		chain = append(chain, intermediate)
	}
	material.identity, err = verify(chain, material.caPool, nil)
	if err != nil {
		return nil, fmt.Errorf("cert_file: %w", err)
	}
	return material, nil
}

func (k *Keys) warnBeforeExpiry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	notAfter := k.current.Load().certificate.Leaf.NotAfter
	if time.Until(notAfter) < expiryWarningPeriod && time.Since(k.lastExpiryWarning) > expiryWarningInterval {
		k.lastExpiryWarning = time.Now()
		k.log.Warn().Time("expires", notAfter).Msg("the certificate of this process expires soon; replace cert_file and key_file")
	}
}
