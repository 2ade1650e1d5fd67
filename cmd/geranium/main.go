// Command geranium is the operators' command line. Every call works through any
// gateway.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"geraniumwall/operator"
	"geraniumwall/transport"
)

// Environment variables that replace the global flags.
const (
	envGateways = "GERANIUM_GATEWAYS"
	envOperator = "GERANIUM_OPERATOR"
	envCert     = "GERANIUM_CERT"
	envKey      = "GERANIUM_KEY"
	envCA       = "GERANIUM_CA"
)

func main() {
	gateways := flag.String("gateways", os.Getenv(envGateways), "gateway addresses, host:port[,host:port]")
	name := flag.String("operator", os.Getenv(envOperator),
		"operator name recorded with changes; default is the name in the certificate, or else the user's")
	keyFiles := &transport.Settings{}
	flag.StringVar(&keyFiles.CertFile, "cert", os.Getenv(envCert), "operator's certificate, PEM file")
	flag.StringVar(&keyFiles.KeyFile, "key", os.Getenv(envKey), "private key of the certificate, PEM file")
	flag.StringVar(&keyFiles.CAFile, "ca", os.Getenv(envCA), "certificates of the CAs of the gateways, PEM file")
	asJSON := flag.Bool("json", false, "print JSON for programs")
	subcommands.ImportantFlag("gateways")
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	a := &app{out: os.Stdout, err: os.Stderr}
	for _, group := range a.commands() {
		for _, c := range group.commands {
			subcommands.Register(c, group.name)
		}
	}
	flag.Parse()
	a.json = *asJSON
	client, err := newClient(*name, keyFiles)
	// Keys that expired must not keep anybody from making new ones.
	if err != nil && flag.Arg(0) != commandCA && flag.Arg(0) != commandIssue {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(subcommands.ExitUsageError))
	}
	a.client = client
	for _, address := range strings.Split(*gateways, ",") {
		if address = strings.TrimSpace(address); address != "" {
			a.client.Gateways = append(a.client.Gateways, address)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// newClient returns a client with the keys of the files, or without keys if no file
// is named.
func newClient(name string, keyFiles *transport.Settings) (*operator.Client, error) {
	if *keyFiles == (transport.Settings{}) {
		return &operator.Client{Operator: cmp.Or(name, userName()), HTTP: &http.Client{}}, nil
	}
	if keyFiles.CertFile == "" || keyFiles.KeyFile == "" || keyFiles.CAFile == "" {
		return nil, errors.New("one of -cert, -key and -ca is missing; set all three, or none for gateways without tls")
	}
	keys, err := transport.LoadKeys(keyFiles, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	gateways := transport.ClientOptions{Keys: keys, Peers: []transport.Role{transport.RoleGateway}}
	return &operator.Client{
		Operator: cmp.Or(name, keys.Identity().Name), HTTP: transport.NewClient(gateways),
	}, nil
}

func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
