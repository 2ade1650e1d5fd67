package control

import (
	"geraniumwall/rpc/controlpb"
	"geraniumwall/transport"
)

// admitted says which roles may call which method. Operators call the gateways.
var admitted = rules(map[string][]transport.Role{
	"SubmitTasks":   {transport.RoleGateway},
	"CancelTasks":   {transport.RoleGateway},
	"GetTask":       {transport.RoleGateway},
	"BeginRequest":  {transport.RoleGateway},
	"EndRequest":    {transport.RoleGateway},
	"ApplyConfig":   {transport.RoleGateway},
	"ListConfigs":   {transport.RoleGateway},
	"ListAudit":     {transport.RoleGateway},
	"DrainWorker":   {transport.RoleGateway},
	"ChangeMembers": {transport.RoleGateway},
	"GetConfig":     {transport.RoleGateway, transport.RoleScheduler},
	"RenewLease":    {transport.RoleScheduler},
	"SyncTasks":     {transport.RoleScheduler},
	"ReportTasks":   {transport.RoleScheduler},
	"RecordAudit":   {transport.RoleScheduler},
	"Status":        {transport.RoleGateway, transport.RoleControl},
})

func rules(methods map[string][]transport.Role) transport.Rules {
	list := transport.Rules{controlpb.ReplicaPathPrefix: {transport.RoleControl}}
	for method, roles := range methods {
		list[controlpb.ControlPathPrefix+method] = roles
	}
	return list
}
