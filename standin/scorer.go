package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"
)

// Scoring is the request body of POST /score.
type Scoring struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Scorer is a scoring service. It scores every POST request except those to /fault.
type Scorer struct {
	recorder
	faultInjector
	work time.Duration
}

// NewScorer returns a scorer whose execution time per sample is work.
func NewScorer(work time.Duration) *Scorer { return &Scorer{work: work} }

// Score returns the score of a sample in [0, 1), a pure function of its content.
func Score(prompt, text string) float64 {
	return float64(mix(hashText(prompt)^hashText(text))>>11) / (1 << 53)
}

// ServeHTTP implements http.Handler.
func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/record":
		writeJSON(w, http.StatusOK, s.Record())
	case r.Method == http.MethodPost && r.URL.Path == "/fault":
		s.faultInjector.serve(w, r)
	case r.Method == http.MethodPost:
		s.score(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	var body Scoring
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record := s.begin(RequestRecord{
		ID:     r.Header.Get(HeaderRunID),
		CallID: cmp.Or(r.Header.Get(HeaderCallID), body.ID),
		Method: r.Method,
		Path:   r.URL.Path,
		Prompt: body.Prompt,
	})
	if _, ok := s.trigger(FaultHang); ok {
		<-r.Context().Done()
		return
	}
	s.countRun(record)
	time.Sleep(s.work + s.delay(FaultSlow))
	s.update(func() { record.Completed = true })
	writeJSON(w, http.StatusOK, map[string]float64{"score": Score(body.Prompt, body.Text)})
}
