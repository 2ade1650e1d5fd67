package jobd

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// joinLine is a log line of a joining replica.
type joinLine struct {
	Level      string `json:"level"`
	Message    string `json:"message"`
	JoiningMS  int64  `json:"joining_ms"`
	TookMS     int64  `json:"took_ms"`
	Candidates []struct {
		Address string `json:"address"`
		Answer  string `json:"answer"`
	} `json:"candidates"`
}

// Guards against a join that fails and leaves no line that says whom it asked and why.
func TestJoinLogsWhatTheCandidatesAnswered(t *testing.T) {
	g := NewWithT(t)
	leader, follower, silent := newFakeMember(t), newFakeMember(t), newSilentAddress(t)
	leader.lead(7)
	leader.grant = joinResponse{Leader: leader.address(), Pending: true}
	follower.follow(leader.address())
	const waits = 2200 * time.Millisecond
	time.AfterFunc(waits, func() { leader.lead(7) })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var out bytes.Buffer
	_, err := join(ctx, &Settings{PeerListen: selfAddress}, []string{follower.address(), silent}, false, nil, zerolog.New(&out).Level(zerolog.InfoLevel))
	g.Expect(err).NotTo(HaveOccurred())
	var progress []joinLine
	var last joinLine
	for _, data := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var line joinLine
		g.Expect(json.Unmarshal(data, &line)).To(Succeed())
		if line.Message == "still joining the log" {
			progress = append(progress, line)
		}
		last = line
	}
	g.Expect(progress).To(HaveLen(2), "one line a second")
	g.Expect(progress[1].JoiningMS).To(BeNumerically(">=", 2000))
	answers := map[string]string{}
	for _, c := range progress[1].Candidates {
		answers[c.Address] = c.Answer
	}
	g.Expect(answers).To(Equal(map[string]string{
		leader.address(): "not committed yet", follower.address(): "not leader", silent: "no answer",
	}))
	g.Expect(last.Message).To(Equal("joined the log"))
	g.Expect(last.TookMS).To(BeNumerically(">=", waits.Milliseconds()))
}
