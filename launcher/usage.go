package launcher

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// clockTick is the unit of CPU times in /proc, which Linux fixes at 100 per
// second for user space (USER_HZ).
const clockTick = 10 * time.Millisecond

// ProcessorTime returns the CPU time, user and system, that the process has used.
func (p *Process) ProcessorTime() (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, oops.In("launcher").Wrap(err)
	}
	// The second field, the program's name in parentheses, may contain spaces.
	text := string(content)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, oops.In("launcher").Errorf("unexpected format of /proc/PID/stat: %q", text)
	}
	var ticks int64
	for _, i := range []int{userField, systemField} {
		value, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, oops.In("launcher").Wrap(err)
		}
		ticks += value
	}
	return time.Duration(ticks) * clockTick, nil
}

// Memory returns the resident memory of the process in bytes.
func (p *Process) Memory() (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0, oops.In("launcher").Wrap(err)
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, oops.In("launcher").Errorf("unexpected format of /proc/PID/statm: %q", content)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), oops.In("launcher").Wrap(err)
}
