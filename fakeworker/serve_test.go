package fakeworker

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/workerapi"
)

func newTestWorker() (*Worker, http.Handler) {
	s := Defaults()
	s.Name, s.Domain, s.Schedulers, s.Services, s.Slots = "w1", "bern-a", []string{"127.0.0.1:1"}, []string{"quote"}, 2
	s.RecordFile = filepath.Join(GinkgoT().TempDir(), "record")
	w, err := New(s, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	return w, w.routes()
}

func post(h http.Handler, path, session, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set(workerapi.HeaderSession, session)
	request.Header.Set(workerapi.HeaderRequestID, "r1")
	request.Header.Set(workerapi.HeaderIdempotent, "k1")
	response := httptest.NewRecorder()
	h.ServeHTTP(response, request)
	return response
}

var _ = Describe("Requests", func() {
	It("are answered completely and recorded with id and key", func() {
		w, h := newTestWorker()
		post(h, workerapi.PathAttach, "", `{"scheduler":"s","epoch":1}`)
		response := post(h, workerapi.PathServe+"quote", "1", `{"work_ms":1,"reply_bytes":10,"echo":"e"}`)
		Expect(response.Header().Get(workerapi.HeaderOutcome)).To(Equal("done"))
		var reply Reply
		Expect(json.Unmarshal(response.Body.Bytes(), &reply)).To(Succeed())
		Expect(reply).To(Equal(Reply{Service: "quote", RequestID: "r1", Worker: "w1", Echo: "e", Padding: "xxxxxxxxxx"}))
		recorded, err := os.ReadFile(w.settings.RecordFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(recorded)).To(And(ContainSubstring(`"request_start"`), ContainSubstring(`"request_end"`), ContainSubstring(`"key":"k1"`)))
	})

	It("above the slots, of other sessions and of unknown services are refused before they run", func() {
		w, h := newTestWorker()
		post(h, workerapi.PathAttach, "", `{"scheduler":"s","epoch":1}`)
		var wait sync.WaitGroup
		for range 2 {
			wait.Go(func() { post(h, workerapi.PathServe+"quote", "1", `{"work_ms":300}`) })
		}
		Eventually(func() int { _, slots := w.Peak(); return slots }).Should(Equal(2))
		for _, refused := range []*httptest.ResponseRecorder{
			post(h, workerapi.PathServe+"quote", "1", `{}`),
			post(h, workerapi.PathServe+"quote", "2", `{}`),
			post(h, workerapi.PathServe+"other", "1", `{}`),
			post(h, workerapi.PathServe+"quote", "", `{}`),
		} {
			Expect(refused.Header().Get(workerapi.HeaderOutcome)).To(Equal("not_run"))
		}
		wait.Wait()
		_, slots := w.Peak()
		Expect(slots).To(Equal(2))
	})
})
