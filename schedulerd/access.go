package schedulerd

import (
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// accessRules lists the roles that may call each path. Operators call the gateways
// instead.
var accessRules = transport.Rules{
	workerapi.PathHeartbeat: {transport.RoleWorker},
	workerapi.PathWithdraw:  {transport.RoleWorker},

	schedulerpb.SchedulerPathPrefix: {transport.RoleGateway},

	schedulerpb.SchedulerPathPrefix + "RenewSchedulerLease": {transport.RoleScheduler},
	schedulerpb.SchedulerPathPrefix + "GetConfig":           {transport.RoleGateway, transport.RoleScheduler},
}
