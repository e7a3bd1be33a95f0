package route

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

const (
	// ratingWait is how long a cheap answer is held back for its rating.
	ratingWait = 300 * time.Millisecond
	// ratingTime bounds one call; a late rating still counts for the estimates
	// and roll-outs. The cascade was measured with ratings 5 min late.
	ratingTime = 10 * time.Minute
	// ratingsOpen bounds the calls under way; more are not started, since
	// ratings may be sparse.
	ratingsOpen = 512
	// ratingsLater is the part for answers that are not held back, so that
	// checks and probes of a cascade find a free call.
	ratingsLater = ratingsOpen / 2
)

// RatingRequest asks for the rating of one answer.
type RatingRequest struct {
	Request ident.Request `json:"request"`
	Kind    string        `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Answer  string        `json:"answer"`
}

// Rater rates answers, late or not at all.
type Rater interface {
	Rate(ctx context.Context, q RatingRequest) (ident.Quality, error)
}

// NewHTTPRater returns a Rater that asks a rating service over HTTP.
func NewHTTPRater(url string) Rater {
	return &rater{url: url, client: &http.Client{Timeout: ratingTime}}
}

type rater struct {
	url    string
	client *http.Client
}

// Rate implements Rater.
func (r *rater) Rate(ctx context.Context, q RatingRequest) (ident.Quality, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return 0, eris.Errorf("rating service answered %d", res.StatusCode)
	}
	var answer struct {
		Rating *ident.Quality `json:"rating"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return 0, err
	}
	if answer.Rating == nil {
		return 0, eris.New("rating service answered without a rating")
	}
	return *answer.Rating, nil
}

// rateNow waits a short time for the rating of a held answer.
func (r *Router) rateNow(ctx context.Context, x *run, a *answer) policy.Score {
	rated := r.ask(x, a, ratingsOpen)
	if rated == nil {
		return policy.Score{}
	}
	timer := time.NewTimer(ratingWait)
	defer timer.Stop()
	select {
	case q, ok := <-rated:
		return policy.Score{Known: ok, Quality: q}
	case <-timer.C:
	case <-ctx.Done():
	}
	return policy.Score{}
}

// wanted tells whether the rating of an answer is of use: for the estimates
// of a cascade or for the test of a roll-out.
func (r *Router) wanted(x *run, t ident.Target) bool {
	roll, ok := r.state.View().Rollouts[t.Model]
	trial := ok && (roll.To == t.Version || roll.From == t.Version)
	return r.rater != nil && (trial || x.req.Target.Model == conf.AutoModel)
}

// rateLater asks for the rating of a whole answer that is being delivered.
func (r *Router) rateLater(x *run, a *answer) {
	if a.head.GetStatus() == http.StatusOK && r.wanted(x, a.target) {
		r.ask(x, a, ratingsLater)
	}
}

// ask starts a call to the rating service. The channel delivers the rating,
// or closes without one. It returns nil if more calls than limit are under way.
func (r *Router) ask(x *run, a *answer, limit int64) <-chan ident.Quality {
	if r.asking.Add(1) > limit {
		r.asking.Add(-1)
		return nil
	}
	q := RatingRequest{Request: x.req.ID, Kind: x.req.Kind.String(), Model: a.target.Model, Version: a.target.Version, Answer: a.text()}
	kind, target := x.req.Kind, a.target
	rated := make(chan ident.Quality, 1)
	r.asks.Go(func() {
		defer r.asking.Add(-1)
		defer close(rated)
		ctx, cancel := context.WithTimeout(r.life, ratingTime)
		defer cancel()
		if quality, err := r.rater.Rate(ctx, q); err == nil {
			r.tools.rate(kind, target, quality)
			rated <- quality
		}
	})
	return rated
}
