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

// peerLink asks the standby for scheduler leases. The address of the standby
// comes from the membership, so that a domain that is cut off finds a standby that
// has moved, else from control, else from the settings.
type peerLink struct {
	settings *Settings
	loop     *loop
	http     *http.Client
	learned  atomic.Pointer[Peer]
	members  atomic.Pointer[gossip.Gossip]
}

func (p *peerLink) learn(r *controlpb.RenewLeaseResponse) {
	if name := r.GetStandby(); name != "" && name != p.settings.Name {
		p.learned.Store(&Peer{Name: name, Address: r.GetStandbyAddress()})
	}
}

func (p *peerLink) address(standby string) string {
	for _, m := range p.members.Load().OfKind(membership.KindScheduler) {
		if m.Name == standby {
			return m.Address
		}
	}
	if learned := p.learned.Load(); learned != nil && learned.Name == standby {
		return learned.Address
	}
	if p.settings.Peer != nil && p.settings.Peer.Name == standby {
		return p.settings.Peer.Address
	}
	return ""
}

func (p *peerLink) renewEvery(ctx context.Context) {
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

func (p *peerLink) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var epoch uint64
	var standby string
	var ask bool
	var sent time.Duration
	err := p.loop.do(ctx, func(now time.Duration, core *scheduler.Core) {
		epoch, standby, ask = core.PeerRequest()
		sent = now
	})
	address := p.address(standby)
	if err != nil || !ask || address == "" {
		return
	}
	stub := schedulerpb.NewSchedulerProtobufClient(transport.URL(address), p.http, protocol.Client())
	answer, err := stub.RenewSchedulerLease(ctx, &schedulerpb.RenewSchedulerLeaseRequest{
		Domain: p.settings.Domain, Active: p.settings.Name, Epoch: epoch,
		LeaseMs: lease.SchedulerLease.Milliseconds(),
	})
	if err != nil || !answer.GetGranted() {
		return
	}
	p.loop.send(func(_ time.Duration, core *scheduler.Core) {
		core.PeerRenewed(sent, standby, epoch, lease.SchedulerLease)
	})
}
