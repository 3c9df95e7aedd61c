package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// drain is drain_ms, and lingers how much longer the backend serves that leaves.
	drain   = 3 * time.Second
	lingers = 700 * time.Millisecond
	// freeze is for how long the machine stands still.
	freeze = 3500 * time.Millisecond
)

// playGap takes one of two backends out right after the machine that reads the store
// freezes. Its entry is removed, and it serves for drain_ms and a little longer.
func playGap(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(8)
	if err != nil {
		return false, err
	}
	defer d.close()
	ds, err := newDesks(d, 2, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer ds.close()
	d.configure(0)
	if err := d.startAll(r, d.machines, d.machines); err != nil {
		return false, err
	}
	reader, err := d.reader()
	if err != nil {
		return false, err
	}
	r.write("%s reads the store", reader.name)
	var others []*machine
	for _, m := range d.machines {
		if m != reader {
			others = append(others, m)
		}
	}
	t := newTraffic(r, others, 6, 25*time.Millisecond, http.MethodPost)
	time.Sleep(time.Second)
	if trouble {
		r.write("%s freezes for %v", reader.name, freeze)
		reader.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { reader.signal(syscall.SIGCONT) })
		time.Sleep(100 * time.Millisecond)
	}
	leaving := ds.list[:1]
	for i, k := range leaving {
		ds.silence(i, true)
		d.store.Remove("servers", k.id)
		r.write("the entry of %s is removed, and the store has acknowledged it", k.id)
	}
	removedAt := time.Now()
	time.Sleep(drain + lingers)
	for _, k := range leaving {
		k.close()
		r.write("%s exits", k.id)
	}
	time.Sleep(2 * time.Second)
	t.end()
	t.writeAll()
	ds.writeAll(r)
	late, lost := 0, 0
	for _, k := range leaving {
		for _, a := range k.arrived() {
			s := t.sent[a.id]
			if a.at.Sub(removedAt) <= drain || s.address == reader.front() {
				continue
			}
			late++
			if s.status != http.StatusOK {
				lost++
			}
			r.write("%s (%s), sent at %s, reached %s from the machine at %s at %s, %v after its entry was removed; status %d",
				a.id, a.text, r.at(s.at), k.id, s.address, r.at(a.at), a.at.Sub(removedAt).Round(time.Millisecond), s.status)
		}
	}
	r.write("%d requests reached a backend later than %v after its entry was removed, from machines that did not freeze; %d of these orders were lost", late, drain, lost)
	return late > 0, nil
}

// reader returns the machine that calls the store most often, by the metrics that its role
// exposes.
func (d *deployment) reader() (*machine, error) {
	before := make([]float64, len(d.machines))
	for i, m := range d.machines {
		var err error
		if before[i], err = storeCalls(m); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	var reader *machine
	most := 0.0
	for i, m := range d.machines {
		n, err := storeCalls(m)
		if err != nil {
			return nil, err
		}
		if n-before[i] > most {
			reader, most = m, n-before[i]
		}
	}
	if reader == nil {
		return nil, fmt.Errorf("no machine calls the store")
	}
	return reader, nil
}

// storeCalls returns the calls to the store that a machine has counted.
func storeCalls(m *machine) (float64, error) {
	r, err := http.Get("http://" + m.ip + ":7399/debug/vars")
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	var vars struct {
		Metrics map[string]any `json:"jujubegate"`
	}
	if err := json.NewDecoder(r.Body).Decode(&vars); err != nil {
		return 0, err
	}
	n, ok := vars.Metrics["StoreCalls"].(float64)
	if !ok {
		return 0, fmt.Errorf("%s has no counter of its store calls", m.name)
	}
	return n, nil
}
