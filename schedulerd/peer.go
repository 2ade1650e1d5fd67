package schedulerd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumwall/lease"
	"geraniumwall/membership"
	"geraniumwall/membership/gossip"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/scheduler"
	"geraniumwall/transport"
)

const peerTimeout = time.Second

// peerClient requests scheduler leases from the standby. It takes the address of the
// standby from the gossip membership, so that a domain that is cut off from the
// control replicas finds a standby that has moved. Failing that, it uses the address
// that the control replicas reported, then the one in the settings.
type peerClient struct {
	settings        *Settings
	core            *coreRef
	http            *http.Client
	reportedStandby atomic.Pointer[Peer]
	members         atomic.Pointer[gossip.Gossip]
}

// updateStandby records the standby that the control replicas report.
func (p *peerClient) updateStandby(r *controlpb.RenewLeaseResponse) {
	if name := r.GetStandby(); name != "" && name != p.settings.Name {
		p.reportedStandby.Store(&Peer{Name: name, Address: r.GetStandbyAddress()})
	}
}

// standbyAddress returns the address of a standby, or "" if it is unknown.
func (p *peerClient) standbyAddress(standby string) string {
	for _, m := range p.members.Load().OfKind(membership.KindScheduler) {
		if m.Name == standby {
			return m.Address
		}
	}
	if reported := p.reportedStandby.Load(); reported != nil && reported.Name == standby {
		return reported.Address
	}
	if p.settings.Peer != nil && p.settings.Peer.Name == standby {
		return p.settings.Peer.Address
	}
	return ""
}

func (p *peerClient) runRenewals(ctx context.Context) {
	ticker := time.NewTicker(lease.RenewEvery)
	defer ticker.Stop()
	for {
		go p.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *peerClient) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var epoch uint64
	var standby string
	var needed bool
	var sentAt time.Duration
	err := p.core.call(ctx, func(now time.Duration, core *scheduler.Core) {
		epoch, standby, needed = core.PeerRequest()
		sentAt = now
	})
	address := p.standbyAddress(standby)
	if err != nil || !needed || address == "" {
		return
	}
	stub := schedulerpb.NewSchedulerProtobufClient(transport.URL(address), p.http, protocol.Client())
	response, err := stub.RenewSchedulerLease(ctx, &schedulerpb.RenewSchedulerLeaseRequest{
		Domain: p.settings.Domain, Active: p.settings.Name, Epoch: epoch,
		LeaseMs: lease.SchedulerLease.Milliseconds(),
	})
	if err != nil || !response.GetGranted() {
		return
	}
	p.core.send(func(_ time.Duration, core *scheduler.Core) {
		core.PeerRenewed(sentAt, standby, epoch, lease.SchedulerLease)
	})
}
