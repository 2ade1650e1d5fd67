package transport

import (
	"context"
	"crypto/x509"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Role determines which requests a process or operator may send. It is stored in the
// certificate as the only organizational unit (OU) of the subject.
type Role string

// Roles of the system's processes and of operators.
const (
	RoleControl   Role = "control"
	RoleScheduler Role = "scheduler"
	RoleGateway   Role = "gateway"
	RoleWorker    Role = "worker"
	RoleOperator  Role = "operator"
)

var knownRoles = []Role{RoleControl, RoleScheduler, RoleGateway, RoleWorker, RoleOperator}

// Identity is the role and name in the subject of a certificate.
type Identity struct {
	Role Role
	// Name is the common name (CN) of the subject.
	Name string
}

// String returns the role and the name.
func (i Identity) String() string { return string(i.Role) + " " + i.Name }

// Check returns an error unless the role is known and the name is set.
func (i Identity) Check() error {
	if !slices.Contains(knownRoles, i.Role) || i.Name == "" {
		return fmt.Errorf("the role must be one of %v and the name must be set", knownRoles)
	}
	return nil
}

// identityOf reads the identity from the subject of a certificate.
func identityOf(certificate *x509.Certificate) (Identity, error) {
	units := certificate.Subject.OrganizationalUnit
	if len(units) != 1 || (Identity{Role(units[0]), certificate.Subject.CommonName}).Check() != nil {
		return Identity{}, fmt.Errorf(
			"the subject %q has no role; issue the certificate with exactly one OU out of %v and the name as CN",
			certificate.Subject, knownRoles)
	}
	return Identity{Role: Role(units[0]), Name: certificate.Subject.CommonName}, nil
}

// verify checks that the chain leads to a CA in pool, that it is currently valid and
// that the role of the leaf is one of allowed. An empty allowed accepts every role.
func verify(chain []*x509.Certificate, pool *x509.CertPool, allowed []Role) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, fmt.Errorf("the peer has no certificate; set tls in its settings")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, CurrentTime: time.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return Identity{}, fmt.Errorf("certificate of %q: %w; issue a valid one from a CA in ca_file", chain[0].Subject, err)
	}
	identity, err := identityOf(chain[0])
	if err == nil && len(allowed) > 0 && !slices.Contains(allowed, identity.Role) {
		err = fmt.Errorf("certificate of %s: the role must be %s here; correct the address or the certificate",
			identity, joinRoles(allowed))
	}
	return identity, err
}

func joinRoles(roles []Role) string {
	names := make([]string, len(roles))
	for i, role := range roles {
		names[i] = string(role)
	}
	return strings.Join(names, " or ")
}

// NameMismatchError reports a request that claims a name other than the one in the
// client's certificate.
type NameMismatchError struct {
	Peer    Identity
	Claimed string
}

// Error implements error.
func (e *NameMismatchError) Error() string {
	return fmt.Sprintf("the certificate of %s does not permit to act as %q; correct the name in its settings, "+
		"or issue a certificate for that name", e.Peer, e.Claimed)
}

// CheckName returns a *NameMismatchError if the client of the request with context ctx
// has a certificate with a name other than claimed. Without keys the client's name is
// unknown and every claim is accepted.
func CheckName(ctx context.Context, claimed string) error {
	if identity, ok := ctx.Value(identityKey{}).(Identity); ok && identity.Name != claimed {
		return &NameMismatchError{Peer: identity, Claimed: claimed}
	}
	return nil
}
