package client

import (
	"context"
	"net/http"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/transport"
)

// SchedulerSource asks the scheduler at a host:port address.
func SchedulerSource(address string, httpClient *http.Client) Source {
	stub := schedulerpb.NewSchedulerProtobufClient(transport.URL(address), httpClient)
	return func(ctx context.Context, known uint64) (*controlpb.ConfigVersion, error) {
		answer, err := stub.GetConfig(ctx, &schedulerpb.GetConfigRequest{KnownVersion: known})
		if err != nil || len(answer.GetContent()) == 0 {
			return nil, err
		}
		return &controlpb.ConfigVersion{Version: answer.GetVersion(), Content: answer.GetContent()}, nil
	}
}
