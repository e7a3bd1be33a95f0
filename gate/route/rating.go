package route

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/reply"
)

const (
	// ratingWait is how long a cascade holds a cheap answer for its rating.
	ratingWait = 300 * time.Millisecond
	// ratingTimeout bounds one call to the rating service. A late rating still
	// counts for the quality estimates and rollouts; the cascade was measured with
	// ratings 5 min late.
	ratingTimeout = 10 * time.Minute
	// maxRatingCalls bounds the calls in flight. An answer beyond it is not rated,
	// since the estimates work with sparse ratings.
	maxRatingCalls = 512
	// maxBackgroundRatingCalls is the bound for answers delivered without waiting
	// for their rating. It leaves free calls for the checks and probes of cascades.
	maxBackgroundRatingCalls = maxRatingCalls / 2
	// maxRatingBytes limits the head and the body of an answer of the rating
	// service, which holds one number.
	maxRatingBytes = 16 << 10
	// maxIdleRatingConns and ratingIdleTimeout bound the idle connections to the
	// rating service.
	maxIdleRatingConns = 16
	ratingIdleTimeout  = 90 * time.Second
)

// RatingRequest is the body of a request to the rating service.
type RatingRequest struct {
	Request ident.Request `json:"request"`
	Kind    string        `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Answer  string        `json:"answer"`
}

// Rater rates answers. A rating may come late or not at all.
type Rater interface {
	Rate(ctx context.Context, q RatingRequest) (ident.Quality, error)
}

// NewHTTPRater returns a Rater that posts to a rating service at the URL.
func NewHTTPRater(url string) Rater {
	return &httpRater{url: url, client: &http.Client{
		Timeout:   ratingTimeout,
		Transport: reply.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxRatingBytes, MaxIdleConnsPerHost: maxIdleRatingConns, IdleConnTimeout: ratingIdleTimeout}),
	}}
}

type httpRater struct {
	url    string
	client *http.Client
}

// Rate implements Rater.
func (r *httpRater) Rate(ctx context.Context, q RatingRequest) (ident.Quality, error) {
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRatingBytes+1))
	if err != nil {
		return 0, err
	}
	if len(data) > maxRatingBytes {
		return 0, eris.Errorf("rating service sent more than %d bytes", maxRatingBytes)
	}
	var answer struct {
		Rating *ident.Quality `json:"rating"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, err
	}
	if answer.Rating == nil {
		return 0, eris.New("rating service answered without a rating")
	}
	return *answer.Rating, nil
}

// waitForRating waits up to ratingWait for the rating of a held answer.
func (r *Router) waitForRating(ctx context.Context, x *execution, a *answer) policy.Rating {
	rated := r.requestRating(x, a, maxRatingCalls)
	if rated == nil {
		return policy.Rating{}
	}
	timer := time.NewTimer(ratingWait)
	defer timer.Stop()
	select {
	case q, ok := <-rated:
		return policy.Rating{Known: ok, Quality: q}
	case <-timer.C:
	case <-ctx.Done():
	}
	return policy.Rating{}
}

// wantsRating reports whether the rating of an answer is needed for the quality
// estimates of a cascade or for a rollout test.
func (r *Router) wantsRating(x *execution, t ident.Target) bool {
	rollout, ok := r.state.View().Rollouts[t.Model]
	trial := ok && (rollout.To == t.Version || rollout.From == t.Version)
	return r.rater != nil && (trial || x.req.Target.Model == conf.AutoModel)
}

// rateInBackground requests the rating of a whole answer that is being delivered.
func (r *Router) rateInBackground(x *execution, a *answer) {
	if a.head.GetStatus() == http.StatusOK && r.wantsRating(x, a.target) {
		r.requestRating(x, a, maxBackgroundRatingCalls)
	}
}

// requestRating starts a call to the rating service. The channel delivers the
// rating, or is closed without one. It returns nil if limit calls are already in
// flight.
func (r *Router) requestRating(x *execution, a *answer, limit int64) <-chan ident.Quality {
	if r.ratingCalls.Add(1) > limit {
		r.ratingCalls.Add(-1)
		return nil
	}
	q := RatingRequest{Request: x.req.ID, Kind: x.req.Kind.String(), Model: a.target.Model, Version: a.target.Version, Answer: a.text()}
	kind, target := x.req.Kind, a.target
	rated := make(chan ident.Quality, 1)
	r.backgroundCalls.Go(func() {
		defer r.ratingCalls.Add(-1)
		defer close(rated)
		ctx, cancel := context.WithTimeout(r.background, ratingTimeout)
		defer cancel()
		if quality, err := r.rater.Rate(ctx, q); err == nil {
			r.adaptive.addRating(kind, target, quality)
			rated <- quality
		}
	})
	return rated
}
