package jobd

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against a removed replica that never joins again since all its seeds were replaced.
func TestRetiredReplicaAsksItsLastMembers(t *testing.T) {
	g := NewWithT(t)
	leader := newFakeMember(t)
	leader.lead(7)
	s := &Settings{PeerListen: selfAddress, Seeds: []string{"127.0.0.2:1"}, DataDir: t.TempDir()}
	retired := Identity{ReplicaID: 3, Peers: map[uint64]string{1: freeAddress(t), 3: selfAddress, 5: leader.address()}, Retired: true}
	g.Expect(retired.save(s)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	identity, store, _, err := openReplica(ctx, s, nil, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.Close()).To(Succeed())
	g.Expect(identity.ReplicaID).To(Equal(uint64(7)))
	g.Expect(identity.Retired).To(BeFalse())
}

// Guards against a removed replica that knows the members of the time when it joined only.
func TestRetiredReplicaStoresItsLastMembers(t *testing.T) {
	g := NewWithT(t)
	server := startSoleReplica(t, "127.0.0.1:2")
	g.Expect(postJoin(t, server, joinRequest{Address: selfAddress, Nonce: "n"}).ReplicaID).To(Equal(uint64(2)))
	s := &Settings{DataDir: t.TempDir()}
	p := &process{settings: s}
	identity := Identity{ReplicaID: 1, Founder: true, Peers: map[uint64]string{1: "127.0.0.1:2", 9: "127.0.0.1:9"}}
	g.Expect(errors.Is(p.markRetired(identity, server.lastMembers()), errRetired)).To(BeTrue())
	stored, err := loadIdentity(s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.Retired).To(BeTrue())
	g.Expect(stored.Peers).To(Equal(map[uint64]string{1: "127.0.0.1:2", 2: selfAddress}))
	g.Expect(errors.Is(p.markRetired(identity, nil), errRetired)).To(BeTrue())
	stored, err = loadIdentity(s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.Peers).To(Equal(identity.Peers), "without a membership those of the join are kept")
}
