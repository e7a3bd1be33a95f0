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

const maxLogLine = 1 << 20 // bytes

// logTimestamp matches the start of a log line: severity, month and day, time
// of day.
var logTimestamp = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})`)

// logLine is a line of a log that names the request.
type logLine struct{ at, file, text string }

func (c *commandLine) followCommand() *ffcli.Command {
	return c.newCommand("follow", "follow ID LOG...", "show all that the logs of the processes say of one request, in the order of time", c.newFlagSet("follow"),
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError("got too few arguments, want: ID LOG...")
			}
			return follow(c.out, args[0], args[1:])
		})
}

// follow prints the lines of the logs that name a request, in the order of their
// timestamps. The clocks of the VMs may differ by some milliseconds.
func follow(out io.Writer, id string, files []string) error {
	var list []logLine
	for _, file := range files {
		lines, err := findLines(file, id)
		if err != nil {
			return err
		}
		list = append(list, lines...)
	}
	if len(list) == 0 {
		return usageError("no line names " + id + "; give the logs of all gates, also those from before a restart")
	}
	slices.SortStableFunc(list, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, f := range list {
		fmt.Fprintf(out, "%s  %s\n", f.file, f.text)
	}
	return nil
}

// findLines returns the lines of a log that hold the quoted id.
func findLines(file, id string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, usageError("cannot read the log: " + err.Error())
	}
	defer func() { _ = f.Close() }()
	var list []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line := scanner.Text(); strings.Contains(line, `"`+id+`"`) {
			at := ""
			if m := logTimestamp.FindStringSubmatch(line); m != nil {
				at = m[1]
			}
			list = append(list, logLine{at, filepath.Base(file), line})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, usageError("cannot read " + file + " to its end: " + err.Error())
	}
	return list, nil
}
