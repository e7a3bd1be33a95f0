package admin

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// mostLine bounds one line of a log, in bytes.
const mostLine = 1 << 20

// stamp is the start of a log line: severity, month and day, time of day.
var stamp = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})`)

// found is a line of a log that names the request.
type found struct{ at, file, line string }

func (s *shell) followCommand() *ffcli.Command {
	return s.command("follow", "follow ID LOG...", "show all that the logs of the processes say of one request, in the order of time", s.flags("follow"),
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usage("got too few arguments, want: ID LOG...")
			}
			return follow(s.out, args[0], args[1:])
		})
}

// follow prints the lines of the logs that name a request. The order is that of
// the clocks of the VMs, which may differ by some milliseconds.
func follow(out io.Writer, id string, files []string) error {
	var list []found
	for _, file := range files {
		lines, err := search(file, id)
		if err != nil {
			return err
		}
		list = append(list, lines...)
	}
	if len(list) == 0 {
		return usage("no line names " + id + "; give the logs of all gates, also those from before a restart")
	}
	slices.SortStableFunc(list, func(a, b found) int { return cmp.Compare(a.at, b.at) })
	for _, f := range list {
		fmt.Fprintf(out, "%s  %s\n", f.file, f.line)
	}
	return nil
}

func search(file, id string) ([]found, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, usage("cannot read the log: " + err.Error())
	}
	defer func() { _ = f.Close() }()
	var list []found
	in := bufio.NewScanner(f)
	in.Buffer(nil, mostLine)
	for in.Scan() {
		if line := in.Text(); strings.Contains(line, `"`+id+`"`) {
			at := ""
			if m := stamp.FindStringSubmatch(line); m != nil {
				at = m[1]
			}
			list = append(list, found{at, filepath.Base(file), line})
		}
	}
	if err := in.Err(); err != nil {
		return nil, usage("cannot read " + file + " to its end: " + err.Error())
	}
	return list, nil
}
