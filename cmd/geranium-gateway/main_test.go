package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/formats"
	"geraniumwall/settings"
)

func TestGeraniumGateway(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "geranium-gateway")
}

const validSettings = `{"name":"gw","domain":"bern-a","listen":"127.0.0.1:0","metrics_listen":"127.0.0.1:0",
"control":["127.0.0.1:1"],"schedulers":[{"name":"s","domain":"bern-a","address":"127.0.0.1:1"}],"drain_ms":1}`

var _ = ginkgo.Describe("geranium-gateway", func() {
	ginkgo.It("reports every problem of its settings", func() {
		err := settings.Parse("file", []byte(`{"listen":"here","control":[],"drain_ms":-1,
			"schedulers":[{"name":"s","domain":"d","address":"127.0.0.1:1"},{"name":"s","address":""}]}`), defaultSettings())
		for _, field := range []string{
			"name", "domain", "listen", "control", "drain_ms", "schedulers[1].name", "schedulers[1].domain", "schedulers[1].address",
		} {
			Expect(err).To(MatchError(ContainSubstring(field)))
		}
		Expect(settings.Parse("file", []byte(validSettings), defaultSettings())).To(Succeed())
	})

	// Guards against a new version that refuses the settings of a released one.
	ginkgo.It("accepts the settings of the released versions", func() {
		files, err := filepath.Glob("../../formats/testdata/v*/" + formats.GatewaySettingsFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			Expect(settings.Load(file, defaultSettings())).To(Succeed())
		}
	})

	ginkgo.It("stops without control and schedulers", func() {
		s := defaultSettings()
		Expect(settings.Parse("file", []byte(validSettings), s)).To(Succeed())
		ctx, stop := context.WithCancel(context.Background())
		lines, out := io.Pipe()
		ended := make(chan error, 1)
		go func() { ended <- run(ctx, s, zerolog.New(out)) }()
		var line struct{ Address string }
		Expect(json.NewDecoder(lines).Decode(&line)).To(Succeed())
		go io.Copy(io.Discard, lines)
		ready, err := http.Get("http://" + line.Address + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		Expect(ready.StatusCode).To(Equal(http.StatusServiceUnavailable))
		call, err := http.Post("http://"+line.Address+"/v1/call/quote", "", bytes.NewReader(nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(call.Header.Get("Geranium-Outcome")).To(Equal("not_run"))
		stop()
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(Succeed()))
		_, err = net.Dial("tcp", line.Address)
		Expect(err).To(HaveOccurred())
	})
})
