// Command geranium is the operators' command line. Every call works through any
// gateway.
package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"geraniumwall/operator"
)

// Environment variables that replace the global flags.
const (
	envGateways = "GERANIUM_GATEWAYS"
	envOperator = "GERANIUM_OPERATOR"
)

func main() {
	gateways := flag.String("gateways", os.Getenv(envGateways), "gateway addresses, host:port[,host:port]")
	name := flag.String("operator", defaultOperator(), "operator name recorded with changes")
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
	a.client = &operator.Client{Operator: *name, HTTP: &http.Client{}}
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

func defaultOperator() string {
	if name := os.Getenv(envOperator); name != "" {
		return name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
