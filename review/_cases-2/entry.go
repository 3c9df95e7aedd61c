package main

import (
	"net/http"
	"time"
)

// playEntry lets another writer put a copy of a backend's entry into the store, under a
// name that ends in a line feed.
func playEntry(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(3)
	if err != nil {
		return false, err
	}
	defer d.close()
	ds, err := newDesks(d, 4, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer ds.close()
	d.configure(0)
	if err := d.startAll(r, d.machines, d.machines); err != nil {
		return false, err
	}
	t := newTraffic(r, d.machines, 6, 20*time.Millisecond, http.MethodPost)
	time.Sleep(2 * time.Second)
	if trouble {
		name := ds.list[0].id + "\n"
		d.store.Put("servers", name, ds.list[0].entry(1, 0))
		r.write("another writer puts an entry named %q", name)
	}
	time.Sleep(6 * time.Second)
	t.end()
	t.writeAll()
	ds.writeAll(r)
	changed, unknown, served := 0, 0, 0
	for _, k := range ds.list {
		for _, a := range k.arrived() {
			s, ok := t.sent[a.id]
			switch {
			case !ok:
				unknown++
				r.write("%s ran a request with the ID %q, which no client sent", k.id, a.id)
			case a.text != s.text:
				changed++
				if s.status == http.StatusOK {
					served++
				}
				r.write("%s ran %s at %s with the body %q; its client sent %q and was answered %d", k.id, a.id, r.at(a.at), a.text, s.text, s.status)
			}
		}
	}
	r.write("%d of %d client attempts ran with another body, %d of them were answered with success; %d requests ran that no client sent", changed, len(t.sent), served, unknown)
	return changed+unknown > 0, nil
}
