package fault

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// Guards against an error object that says "not run" about a request that may
// have run.
func TestWrite(t *testing.T) {
	tests := map[string]struct {
		err    error
		status int
		ran    string
		after  string
	}{
		"refused":          {New(Busy, "full").WithRetryAfter(1500 * time.Millisecond), 429, "no", "2"},
		"no lease":         {New(NoLease, "no lease"), 503, "no", ""},
		"upstream failure": {New(Upstream, "cut"), 502, "unknown", ""},
		"unknown outcome":  {New(Unknown, "lost"), 504, "unknown", ""},
		"wrapped":          {eris.Wrap(New(Forbidden, "no"), "route"), 403, "no", ""},
		"plain error":      {errors.New("defect"), 500, "unknown", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			From(tt.err).WriteResponse(w)
			var o ErrorObject
			if err := json.Unmarshal(w.Body.Bytes(), &o); err != nil {
				t.Fatal(err)
			}
			if w.Code != tt.status || o.Error.Ran != tt.ran || w.Header().Get("Retry-After") != tt.after {
				t.Errorf("got %d ran=%s after=%s, want %d ran=%s after=%s",
					w.Code, o.Error.Ran, w.Header().Get("Retry-After"), tt.status, tt.ran, tt.after)
			}
		})
	}
}
