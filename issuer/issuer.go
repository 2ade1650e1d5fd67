// Package issuer makes a certificate authority and issues the certificates of
// processes and operators. Deployments with an authority of their own do not need it.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"geraniumwall/transport"
)

// Names of the files of an authority in its directory.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca.key"
)

const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
	serialBits       = 128
	// clockSkew lets a certificate be used at once on hosts whose clocks are behind.
	clockSkew   = 5 * time.Minute
	keyMode     = 0o600
	publicMode  = 0o644
	directories = 0o700
)

// Authority issues certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the certificate of the authority, the content of a ca_file.
	PEM []byte
}

// Create makes an authority and writes it into a directory that has none yet.
func Create(dir, name string, lifetime time.Duration) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, CAKeyFile)); !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s may already hold an authority; choose an empty directory", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make a key: %w", err)
	}
	template, err := newTemplate(pkix.Name{CommonName: name}, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	public, secret, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	if err := replace(filepath.Join(dir, CAFile), public, publicMode); err != nil {
		return nil, err
	}
	if err := replace(filepath.Join(dir, CAKeyFile), secret, keyMode); err != nil {
		return nil, err
	}
	return Load(dir)
}

// Load reads an authority from its directory.
func Load(dir string) (*Authority, error) {
	public, err := os.ReadFile(filepath.Join(dir, CAFile)) //nolint:gosec // the operator's own argument
	if err != nil {
		return nil, fmt.Errorf("%w; make an authority with geranium ca", err)
	}
	secret, err := os.ReadFile(filepath.Join(dir, CAKeyFile)) //nolint:gosec // the operator's own argument
	if err != nil {
		return nil, fmt.Errorf("%w; run this where the key of the authority is kept", err)
	}
	certBlock, _ := pem.Decode(public)
	keyBlock, _ := pem.Decode(secret)
	if certBlock == nil || keyBlock == nil {
		return nil, fmt.Errorf("%s and %s in %s must be PEM; restore them from a backup", CAFile, CAKeyFile, dir)
	}
	certificate, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w; restore it from a backup", CAFile, err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	signer, ok := key.(*ecdsa.PrivateKey)
	if err != nil || !ok {
		return nil, fmt.Errorf("%s is no ECDSA key in PKCS #8; restore it from a backup", CAKeyFile)
	}
	return &Authority{certificate: certificate, key: signer, PEM: public}, nil
}

// Issue writes a certificate with the role and name, and its new private key, to
// the two files. The addresses are for callers, who verify the name of a gateway;
// each is an IP address or a DNS name.
func (a *Authority) Issue(to transport.Settings, who transport.Identity, lifetime time.Duration, addresses ...string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make a key: %w", err)
	}
	subject := pkix.Name{CommonName: who.Name, OrganizationalUnit: []string{string(who.Role)}}
	template, err := newTemplate(subject, lifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		if ip := net.ParseIP(address); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, address)
		}
	}
	public, secret, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return err
	}
	// A process that reads between the two writes refuses the pair and tries again.
	if err := replace(to.KeyFile, secret, keyMode); err != nil {
		return err
	}
	return replace(to.CertFile, public, publicMode)
}

func newTemplate(subject pkix.Name, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make a serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: subject, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime),
	}, nil
}

// sign returns the certificate and the private key in PEM.
func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (public, secret []byte, err error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, fmt.Errorf("sign the certificate: %w", err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("encode the key: %w", err)
	}
	public = pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der})
	return public, pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: encoded}), nil
}

// replace writes a file in one step, so that nobody reads half of it. It makes the
// directory if there is none.
func replace(path string, content []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), directories); err != nil {
		return fmt.Errorf("%w; choose a writable directory", err)
	}
	next := path + ".new"
	if err := os.WriteFile(next, content, mode); err != nil {
		return fmt.Errorf("%w; choose a writable directory", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("%w; choose a writable directory", err)
	}
	return nil
}
