package slope

import (
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is the use of resources by a process since its start.
type Usage struct {
	CPU  time.Duration `json:"cpu"`
	Heap uint64        `json:"heap"` // bytes of heap and stacks after a garbage collection; 0 if not requested
	// Sent and Writes count the bytes and the system calls of this process on
	// its sessions. Each write sends at least one TCP segment.
	Sent         int64  `json:"sent"`
	Writes       int64  `json:"writes"`
	Received     int64  `json:"got"`
	Disk         int64  `json:"disk"` // bytes in the data folder
	Leader       bool   `json:"leader"`
	AppliedIndex uint64 `json:"done"` // index of the last applied log entry
}

// meter counts the bytes and writes on the connections of this process.
type meter struct{ sent, writes, received atomic.Int64 }

func (m *meter) usage(heap bool) Usage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	out := Usage{
		CPU:  time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		Sent: m.sent.Load(), Writes: m.writes.Load(), Received: m.received.Load(),
	}
	if heap {
		runtime.GC()
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		out.Heap = s.HeapAlloc + s.StackInuse
	}
	return out
}

func (m *meter) wrap(c net.Conn) net.Conn { return &meteredConn{c, m} }

type meteredConn struct {
	net.Conn
	m *meter
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	c.m.writes.Add(1)
	return n, err
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes and writes on accepted connections.
type meteredListener struct {
	net.Listener
	m *meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.m.wrap(c), nil
}

// folderSize returns the bytes of all files in a folder.
func folderSize(dir string) int64 {
	var n int64
	names, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, name := range names {
		if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() {
			n += info.Size()
		}
	}
	return n
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// processUsage returns the processor time of another process and its resident
// memory in bytes.
func processUsage(pid int) (time.Duration, int64, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return 0, 0, eris.Wrap(err, "cannot read the processor time; this part needs Linux")
	}
	// The name in the second field may contain spaces; the other fields do not.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, resident = 11, 12, 21 // indexes after the name
	if len(fields) <= resident {
		return 0, 0, eris.New("the processor time in /proc has an unknown form")
	}
	u, err1 := strconv.ParseInt(fields[user], 10, 64)
	s, err2 := strconv.ParseInt(fields[system], 10, 64)
	r, err3 := strconv.ParseInt(fields[resident], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return 0, 0, eris.New("the processor time in /proc has an unknown form")
	}
	return time.Duration(u+s) * clockTick, r * int64(os.Getpagesize()), nil
}
