package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryCheck is the time between two looks at the memory of the processes, and
	// restartDelay the delay after which the platform starts a process again.
	memoryCheck  = 50 * time.Millisecond
	restartDelay = time.Second
)

// keeper is the part of the platform that ends processes which exceed their memory and
// starts them again.
type keeper struct {
	mu   sync.Mutex
	most map[string]int
	ends map[string][]time.Time
}

// keep watches the processes until the function says that it is over.
func (w *world) keep(over func() bool) *keeper {
	k := &keeper{most: make(map[string]int), ends: make(map[string][]time.Time)}
	for _, p := range w.fleet {
		go func() {
			for !over() && !w.ended.Load() {
				time.Sleep(memoryCheck)
				kb := p.residentKB()
				k.mu.Lock()
				k.most[p.name] = max(k.most[p.name], kb)
				k.mu.Unlock()
				if kb <= memoryMB<<10 || w.ended.Load() {
					continue
				}
				p.signal(syscall.SIGKILL)
				k.mu.Lock()
				k.ends[p.name] = append(k.ends[p.name], time.Now())
				k.mu.Unlock()
				w.note("%s takes %d MB of %d MB: killed by the platform", p.name, kb>>10, memoryMB)
				<-p.exited
				time.Sleep(restartDelay)
				if w.ended.Load() {
					return
				}
				if err := w.launch(p); err != nil {
					w.note("%s does not start: %v", p.name, err)
					return
				}
			}
		}()
	}
	return k
}

// count returns how often a process was ended, and the most memory that it took in MB.
func (k *keeper) count(name string) (ends, mostMB int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ends[name]), k.most[name] >> 10
}

// firstEnd returns when a process was first ended, or false if it was not.
func (k *keeper) firstEnd(name string) (time.Time, bool) {
	if ends := k.endsOf(name); len(ends) > 0 {
		return ends[0], true
	}
	return time.Time{}, false
}

// endsOf returns when a process was ended.
func (k *keeper) endsOf(name string) []time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]time.Time(nil), k.ends[name]...)
}

// sending is a request whose connection ended without an answer.
type sending struct {
	machine     string
	sent, ended time.Time
}

// losses holds the requests whose connection ended without an answer, by ID.
type losses struct {
	mu  sync.Mutex
	cut map[string]sending
}

func (l *losses) add(id string, p *instance, sent time.Time, r reply) {
	// Only requests on kept connections count.
	if r.status != 0 || !r.kept {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[id] = sending{p.name, sent, time.Now()}
}

// within reports whether no machine has passed on more than some requests whose connection
// then ended with its process.
func (l *losses) within(w *world, k *keeper, allowed int) bool {
	ran := make(map[string]bool)
	w.mu.Lock()
	for _, a := range w.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	w.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := make(map[string]int)
	var lines []string
	for id, s := range l.cut {
		// After its first end a machine is started again, and may not be in touch.
		at, ok := k.firstEnd(s.machine)
		if ok && ran[id] && s.sent.Before(at) && s.ended.Sub(at).Abs() < time.Second {
			lost[s.machine]++
			lines = append(lines, fmt.Sprintf("%8.3f request %s to %s was run, and its kept connection closed without an answer at %.3f", s.sent.Sub(w.began).Seconds(), id, s.machine, s.ended.Sub(w.began).Seconds()))
		}
	}
	slices.Sort(lines)
	w.note("requests that were lost:\n%s", strings.Join(lines, "\n"))
	held := true
	for _, p := range w.fleet {
		n, most := k.count(p.name)
		w.note("%s: took %d MB of %d MB at most, ended %d times; requests passed on whose connection closed without an answer: %d, allowed %d", p.name, most, memoryMB, n, lost[p.name], allowed)
		held = held && lost[p.name] <= allowed
	}
	return held
}
