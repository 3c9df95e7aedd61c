package measurer

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// The size that the budgets hold for.
const (
	futureMembers = 1200
	futureTargets = 6200
	futureCentres = 11
	// futureCell is the number of members of a data centre, rounded up.
	futureCell = 110
)

// Budgets of control per node and of the store.
const (
	budgetCore   = 2.5 // percent of one core
	budgetMemory = 32  // MB
	budgetWire   = 3   // KB/s sent
	budgetWrites = 300 // per second; "several hundred"
	budgetReads  = 2000
)

// repetitions is the number of times that each processor time is measured. The
// machine is shared, so one value alone says little.
const repetitions = 3

// Markers of the generated section of a page.
const (
	beginMarker = "<!-- capacity: begin, written by jujubemeasure --capacity -->"
	endMarker   = "<!-- capacity: end -->"
)

// capacities are the groups of capacity figures, in the order of the page.
var capacities = []struct {
	name    string
	measure func(ctx context.Context) ([]Capacity, error)
}{
	{"store calls", storeCalls},
	{"watches", watches},
	{"messages", messages},
	{"cells", cells},
	{"configuration", configurations},
	{"assignment", assignments},
	{"losses", lossMoves},
	{"lanes", lanes},
	{"views", viewObjects},
	{"moves", moveCounts},
	{"orders", orders},
	{"spread", spread},
}

// RunCapacity measures the slopes and writes the table of the future size
// between the markers of the page.
func RunCapacity(ctx context.Context, page string, out io.Writer) error {
	var rows []string
	for _, group := range capacities {
		start := time.Now()
		figures, err := group.measure(ctx)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return oops.In("measurer").Wrapf(err, "capacity of %s", group.name)
		}
		for _, f := range figures {
			rows = append(rows, f.Row())
			if _, err := fmt.Fprintln(out, f.Row()); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(out, "%s: %v\n", group.name, time.Since(start).Round(time.Millisecond)); err != nil {
			return err
		}
	}
	before, err := os.ReadFile(page)
	if err != nil {
		return oops.In("measurer").Wrapf(err, "read page")
	}
	after, err := splice(string(before), capacityTable(rows))
	if err != nil {
		return oops.In("measurer").With("page", page).Wrap(err)
	}
	return os.WriteFile(page, []byte(after), 0o644)
}

func capacityTable(rows []string) string {
	return "| role | figure | measured (size: value) | intercept + slope (largest error) | at the future size | budget | verdict |\n" +
		"| --- | --- | --- | --- | --- | --- | --- |\n" + strings.Join(rows, "\n")
}

// splice replaces what a page has between the markers.
func splice(page, section string) (string, error) {
	begin, end := strings.Index(page, beginMarker), strings.Index(page, endMarker)
	if begin < 0 || end < begin {
		return "", fmt.Errorf("page does not hold %q before %q", beginMarker, endMarker)
	}
	return page[:begin] + beginMarker + "\n" + section + "\n" + page[end:], nil
}

// processorTime returns the processor time of this process so far, that of
// the kernel for it included.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, oops.In("measurer").Wrapf(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// processorPer returns the processor time of one run of f, in microseconds,
// for each repetition.
func processorPer(runs int, f func() error) ([]float64, error) {
	var values []float64
	for range repetitions {
		before, err := processorTime()
		if err != nil {
			return nil, err
		}
		for range runs {
			if err := f(); err != nil {
				return nil, err
			}
		}
		after, err := processorTime()
		if err != nil {
			return nil, err
		}
		values = append(values, float64((after-before).Nanoseconds())/1000/float64(runs))
	}
	return values, nil
}

// memoryInUse returns the heap and the stacks after a collection, in MB.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees what finalizers of the first one let go
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / 1e6
}
