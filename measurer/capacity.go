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

// The fleet size at which the budgets must be met.
const (
	futureMembers     = 1200
	futureTargets     = 6200
	futureDataCentres = 11
	// futureCellSize is the mean number of members of a data centre, rounded up.
	futureCellSize = 110
)

// Budgets for the control plane of one instance, and for the calls of the whole
// fleet to the store.
const (
	budgetCorePercent = 2.5  // % of one core
	budgetMemoryMB    = 32   // MB
	budgetTraffic     = 3    // KB/s sent
	budgetWrites      = 300  // per second; stated as "several hundred"
	budgetReads       = 2000 // per second
)

// repetitions is the number of times that each CPU time is measured. The
// machine is shared, so a single value is unreliable.
const repetitions = 3

// Markers around the generated section of the capacity page.
const (
	beginMarker = "<!-- capacity: begin, written by jujubemeasure --capacity -->"
	endMarker   = "<!-- capacity: end -->"
)

// capacityGroups lists the groups of capacity figures in the order of the page.
var capacityGroups = []struct {
	name    string
	measure func(ctx context.Context) ([]CapacityFigure, error)
}{
	{"store calls", measureStoreReads},
	{"watches", measureWatches},
	{"messages", measureMessages},
	{"cells", measureCells},
	{"configuration", measureConfiguration},
	{"assignment", measureAssignment},
	{"losses", measureReassignments},
	{"lanes", measureTargetQueues},
	{"views", measureViewObjects},
	{"moves", measureRouteCounts},
	{"orders", measureOrders},
	{"spread", measurePropagation},
}

// RunCapacity measures the capacity figures at several sizes, extrapolates them to
// the future fleet size, and writes the table between the markers of the page.
func RunCapacity(ctx context.Context, page string, out io.Writer) error {
	var rows []string
	for _, group := range capacityGroups {
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
	after, err := replaceSection(string(before), capacityTable(rows))
	if err != nil {
		return oops.In("measurer").With("page", page).Wrap(err)
	}
	return os.WriteFile(page, []byte(after), 0o644)
}

func capacityTable(rows []string) string {
	return "| role | figure | measured (size: value) | intercept + slope (largest error) | at the future size | budget | verdict |\n" +
		"| --- | --- | --- | --- | --- | --- | --- |\n" + strings.Join(rows, "\n")
}

// replaceSection replaces the text between the markers of a page.
func replaceSection(page, section string) (string, error) {
	begin, end := strings.Index(page, beginMarker), strings.Index(page, endMarker)
	if begin < 0 || end < begin {
		return "", fmt.Errorf("page doesn't contain %q followed by %q", beginMarker, endMarker)
	}
	return page[:begin] + beginMarker + "\n" + section + "\n" + page[end:], nil
}

// processorTime returns the CPU time, user and system, that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, oops.In("measurer").Wrapf(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// processorTimePerRun returns the mean CPU time of one run of f, in
// microseconds, once per repetition.
func processorTimePerRun(runs int, f func() error) ([]float64, error) {
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

// memoryInUse returns the size of the heap and the stacks after a garbage
// collection, in MB.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees the objects that finalizers released after the first collection
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / 1e6
}
