package gossip

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/membership"
	"geraniumwall/membership/membershippb"
)

func encodePacket(p membership.Packet) ([]byte, error) {
	message := &membershippb.Packet{
		Kind: membershippb.PacketKind(p.Kind), Sequence: p.Sequence, From: encodeMember(p.From),
		Target: p.Target, TargetGossip: p.TargetGossipAddress, MeantFor: p.Recipient, Digest: p.Digest,
	}
	for _, m := range p.Updates {
		message.Updates = append(message.Updates, encodeMember(m))
	}
	return proto.Marshal(message)
}

func decodePacket(datagram []byte) (membership.Packet, error) {
	var message membershippb.Packet
	if err := proto.Unmarshal(datagram, &message); err != nil {
		return membership.Packet{}, fmt.Errorf("decode membership packet: %w", err)
	}
	p := membership.Packet{
		Kind: membership.PacketKind(message.GetKind()), Sequence: message.GetSequence(), From: decodeMember(message.GetFrom()),
		Target: message.GetTarget(), TargetGossipAddress: message.GetTargetGossip(), Recipient: message.GetMeantFor(), Digest: message.GetDigest(),
	}
	for _, m := range message.GetUpdates() {
		p.Updates = append(p.Updates, decodeMember(m))
	}
	return p, nil
}

func encodeMember(m membership.Member) *membershippb.Member {
	return &membershippb.Member{
		Name: m.Name, Kind: m.Kind, Domain: m.Domain, Address: m.Address, Gossip: m.GossipAddress,
		Incarnation: m.Incarnation, State: membershippb.State(m.State),
	}
}

func decodeMember(m *membershippb.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), Kind: m.GetKind(), Domain: m.GetDomain(), Address: m.GetAddress(), GossipAddress: m.GetGossip(),
		Incarnation: m.GetIncarnation(), State: membership.State(m.GetState()),
	}
}
