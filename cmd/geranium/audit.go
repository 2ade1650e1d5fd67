package main

import (
	"context"
	"flag"
	"io"

	"geraniumwall/operator"
)

// auditFlags are the flags of audit.
type auditFlags struct {
	after  uint64
	limit  int
	actor  string
	action string
	verify bool
	export bool
	anchor string
}

func (o *auditFlags) set(f *flag.FlagSet) {
	pageFlags(&o.after, &o.limit)(f)
	f.StringVar(&o.actor, "actor", "", "only records of this actor")
	f.StringVar(&o.action, "action", "", "only records of this action")
	f.BoolVar(&o.verify, "verify", false, "check the hash chain of the whole trail")
	f.BoolVar(&o.export, "export", false, "print the whole trail as JSON lines")
	f.StringVar(&o.anchor, "anchor", "", "with -verify: SEQUENCE:HASH of an earlier verification that must still be in the trail")
}

func (a *app) audit(ctx context.Context, o *auditFlags) error {
	switch {
	case o.verify && o.export:
		return &usageError{"choose one of -verify and -export"}
	case o.verify:
		return a.verifyAudit(ctx, o)
	case o.export:
		return a.client.ExportAudit(ctx, a.out, o.actor, o.action)
	}
	records, err := a.client.Audit(ctx, o.after, o.limit, o.actor, o.action)
	if err != nil {
		return err
	}
	return a.print(records, func(w io.Writer) error { return operator.WriteAudit(w, records) })
}

func (a *app) verifyAudit(ctx context.Context, o *auditFlags) error {
	if o.actor != "" || o.action != "" || o.after != 0 {
		return &usageError{"-verify checks the whole trail; leave out -after, -actor and -action"}
	}
	anchor, err := operator.ParseAnchor(o.anchor)
	if err != nil {
		return &usageError{err.Error()}
	}
	summary, err := a.client.VerifyAudit(ctx, anchor)
	if err != nil {
		return err
	}
	return a.print(summary, func(w io.Writer) error { return operator.WriteAuditSummary(w, summary) })
}
