package admin

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/reply"
)

// PrintNewKey generates a bearer key and prints it with its digest. The key
// itself is stored nowhere.
func PrintNewKey(out io.Writer) error {
	key := "cl-" + rand.Text()
	_, err := fmt.Fprintf(out, "key    %s\ndigest %s\n", key, conf.KeyDigest(key))
	return err
}

const maxDecisionRecord = 1 << 20 // bytes

// Explain prints the decision record of a request, read from the admin address
// of the gate that served it. A gate keeps only the records of its newest
// requests.
func Explain(ctx context.Context, out io.Writer, gate string, id ident.Request) error {
	if gate == "" {
		return usageError("--gate is empty; set it to the admin address of the gate")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gate+"/decisions/"+url.PathEscape(string(id)), nil)
	if err != nil {
		return usageError(err.Error())
	}
	resp, err := reply.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "the gate does not answer; check --gate")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Missing, fmt.Sprintf("the gate has no record of request %s; ask the gate that served it, soon after", id))
	}
	_, err = io.Copy(out, io.LimitReader(resp.Body, maxDecisionRecord))
	return err
}
