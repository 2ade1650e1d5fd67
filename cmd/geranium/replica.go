package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"

	"geraniumwall/operator"
	"geraniumwall/operatorapi"
)

// argumentsOfReplica are the change and the id.
const argumentsOfReplica = 2

// replicaFlags are the flags of replica.
type replicaFlags struct {
	address string
	domain  string
}

func (o *replicaFlags) set(f *flag.FlagSet) {
	f.StringVar(&o.address, "address", "", "with add: IP address and port of the new replica")
	f.StringVar(&o.domain, "domain", "", "with add: failure domain of the new replica")
}

func (a *app) replica(ctx context.Context, f *flag.FlagSet, o *replicaFlags) error {
	if f.NArg() != argumentsOfReplica {
		return &usageError{"give add, promote or remove, and the id of the replica"}
	}
	change := operatorapi.ReplicaChange(f.Arg(0))
	switch {
	case change != operatorapi.AddReplica && change != operatorapi.PromoteReplica && change != operatorapi.RemoveReplica:
		return &usageError{fmt.Sprintf("%q is no change; use add, promote or remove", f.Arg(0))}
	case change == operatorapi.AddReplica && (o.address == "" || o.domain == ""):
		return &usageError{"add needs -address and -domain of the new replica, before the word add"}
	}
	id, err := strconv.ParseUint(f.Arg(1), 10, 64)
	if err != nil || id == 0 {
		return &usageError{fmt.Sprintf("%q is no id of a replica; geranium status lists them", f.Arg(1))}
	}
	replicas, err := a.client.ChangeReplica(ctx, change, operatorapi.Replica{ID: id, Address: o.address, Domain: o.domain})
	if err != nil {
		return fmt.Errorf("%w; compare with geranium status", err)
	}
	return a.print(replicas, func(w io.Writer) error { return operator.WriteReplicas(w, replicas) })
}
