package schedulerd

import (
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// accessRules says which roles may call which path. Operators call the gateways.
var accessRules = transport.Rules{
	workerapi.PathHeartbeat: {transport.RoleWorker},
	workerapi.PathWithdraw:  {transport.RoleWorker},

	schedulerpb.SchedulerPathPrefix: {transport.RoleGateway},

	schedulerpb.SchedulerPathPrefix + "RenewSchedulerLease": {transport.RoleScheduler},
	schedulerpb.SchedulerPathPrefix + "GetConfig":           {transport.RoleGateway, transport.RoleScheduler},
}
