package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// reloadInterval is the time between two checks of the files for changes.
	reloadInterval = 2 * time.Second
	// A warning is logged every expiryWarningInterval once the certificate of this
	// process expires within expiryWarningPeriod.
	expiryWarningPeriod   = 72 * time.Hour
	expiryWarningInterval = time.Hour
	// maxRefusalsLoggedPerSecond limits the log lines about rejected peers.
	maxRefusalsLoggedPerSecond = 5
)

// Keys holds the certificate and private key of a process and the CAs that it trusts,
// and reloads them from their files. A nil *Keys means plaintext connections.
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

// keyMaterial is the verified content of the certificate, key and CA files.
type keyMaterial struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
	identity    Identity
}

// LoadKeys reads and verifies the files of s. It returns nil keys if s is nil. Errors
// state the remedy and never contain the content of a file.
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

// Identity returns the role and name in the certificate of this process.
func (k *Keys) Identity() Identity { return k.current.Load().identity }

// Watch reloads the files until ctx is done: within 2 s of a change and immediately when
// reloads delivers. If the new files are invalid, the previous keys stay in use.
func (k *Keys) Watch(ctx context.Context, reloads <-chan struct{}) {
	if k == nil {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
		}
		k.Reload()
	}
}

// Reload reads the files and, if they have changed and are valid, replaces the keys and
// runs the callbacks of OnChange. It also warns of a certificate that expires soon.
func (k *Keys) Reload() {
	callbacks, err := k.load()
	if err != nil {
		k.log.Error().Err(err).Msg("reloading the tls files failed, the previous ones stay in use; correct the files")
	}
	for _, callback := range callbacks {
		callback()
	}
	k.warnBeforeExpiry()
}

// load reads the files and replaces the current keys if the files have changed and are
// valid. It returns the callbacks to run after a replacement; the first load has none.
// An error is returned once, not on every call while the files stay as they are.
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

// OnChange registers a callback that runs after each change of the keys. It has no
// effect on a nil *Keys.
func (k *Keys) OnChange(callback func()) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changeCallbacks = append(k.changeCallbacks, callback)
}

// parseKeyMaterial parses the files and checks that the key matches the certificate and
// that the CAs issued the certificate. Peers would reject any other combination.
func parseKeyMaterial(contents fileContents) (*keyMaterial, error) {
	certificate, err := tls.X509KeyPair([]byte(contents.cert), []byte(contents.key))
	if err != nil {
		return nil, fmt.Errorf("cert_file and key_file: %w; use a certificate and its private key, both in PEM", err)
	}
	material := &keyMaterial{certificate: certificate, caPool: x509.NewCertPool()}
	if !material.caPool.AppendCertsFromPEM([]byte(contents.ca)) {
		return nil, fmt.Errorf("ca_file contains no certificate; use the certificates of the CAs in PEM")
	}
	chain := []*x509.Certificate{certificate.Leaf}
	for _, der := range certificate.Certificate[1:] {
		intermediate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("cert_file: %w; remove the malformed certificate", err)
		}
		chain = append(chain, intermediate)
	}
	material.identity, err = verify(chain, material.caPool, nil)
	if err != nil {
		return nil, fmt.Errorf("cert_file: %w", err)
	}
	return material, nil
}

// warnBeforeExpiry logs a warning, at most once per expiryWarningInterval, if the
// certificate expires within expiryWarningPeriod.
func (k *Keys) warnBeforeExpiry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	notAfter := k.current.Load().certificate.Leaf.NotAfter
	if time.Until(notAfter) < expiryWarningPeriod && time.Since(k.lastExpiryWarning) > expiryWarningInterval {
		k.lastExpiryWarning = time.Now()
		k.log.Warn().Time("expires", notAfter).Msg("the certificate of this process expires soon; replace cert_file and key_file")
	}
}
