package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"geraniumwall/issuer"
	"geraniumwall/transport"
)

const (
	commandCA    = "ca"
	commandIssue = "issue"

	day             = 24 * time.Hour
	defaultCADays   = 3650
	defaultCertDays = 90
)

// keyFlags are the flags of the commands that make keys.
type keyFlags struct {
	authority, out, role, name, addresses string
	days                                  int
}

// keyCommands need no gateway.
func (a *app) keyCommands() []subcommands.Command {
	var ca, issue keyFlags
	return []subcommands.Command{
		&command{
			app: a, name: commandCA, synopsis: "make a certificate authority in a directory",
			flags: func(f *flag.FlagSet) {
				f.StringVar(&ca.out, "out", "ca", "directory of the authority; keep it off the entry hosts")
				f.StringVar(&ca.name, "name", "geraniumwall", "name of the authority")
				f.IntVar(&ca.days, "days", defaultCADays, "days until it expires")
			},
			run: func(context.Context, *flag.FlagSet) error {
				_, err := issuer.Create(ca.out, ca.name, time.Duration(ca.days)*day)
				return err
			},
		},
		&command{
			app: a, name: commandIssue, synopsis: "issue the certificate and key of a process or operator",
			flags: issue.setIssue, run: func(context.Context, *flag.FlagSet) error { return a.issue(&issue) },
		},
	}
}

func (k *keyFlags) setIssue(f *flag.FlagSet) {
	f.StringVar(&k.authority, "authority", "ca", "directory of the authority")
	f.StringVar(&k.out, "out", ".", "directory of the files NAME.pem and NAME.key")
	f.StringVar(&k.role, "role", "", "control, scheduler, gateway, worker or operator")
	f.StringVar(&k.name, "name", "", "name of the process or operator")
	f.StringVar(&k.addresses, "addresses", "", "IP addresses and DNS names at which callers reach a gateway, separated by commas")
	f.IntVar(&k.days, "days", defaultCertDays, "days until it expires")
}

func (a *app) issue(k *keyFlags) error {
	who := transport.Identity{Role: transport.Role(k.role), Name: k.name}
	if err := who.Check(); err != nil {
		return &usageError{err.Error()}
	}
	authority, err := issuer.Load(k.authority)
	if err != nil {
		return err
	}
	to := transport.Settings{
		CertFile: filepath.Join(k.out, k.name+".pem"), KeyFile: filepath.Join(k.out, k.name+".key"),
	}
	var addresses []string
	if k.addresses != "" {
		addresses = strings.Split(k.addresses, ",")
	}
	if err := authority.Issue(to, who, time.Duration(k.days)*day, addresses...); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n%s\n", to.CertFile, to.KeyFile)
	return err
}
