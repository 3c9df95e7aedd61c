package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"jujubegate.example/jujubegate/launcher"
)

// naiveTier is the query tier to compare with. Each of its instances sends to the
// targets directly, in round robin over the replicas of a shard, retries once on
// failure, and has a static share of each target's slots and connections. They
// run in this process.
type naiveTier struct {
	instances []*naiveInstance
	next      atomic.Uint64
}

type naiveInstance struct {
	// shards holds the replicas of each shard.
	shards [][]*naiveTarget
	// sequence counts the queries; it selects the first replica of a query.
	sequence atomic.Uint64
	// deadline limits the time of a query.
	deadline time.Duration
	service  string
}

type naiveTarget struct {
	url    string
	client *http.Client
	slots  chan struct{}
}

func newNaiveTier(f *launcher.Fleet) *naiveTier {
	t := &naiveTier{}
	for range f.Spec.Instances {
		instance := &naiveInstance{
			shards:   make([][]*naiveTarget, f.Spec.Shards),
			deadline: f.Spec.Deadline,
			service:  f.Spec.Target.Service,
		}
		for _, s := range f.Targets {
			instance.shards[s.Shard] = append(instance.shards[s.Shard], &naiveTarget{
				url: "http://" + s.Address + "/query",
				client: &http.Client{Transport: &http.Transport{
					MaxConnsPerHost:     max(1, s.Connections/f.Spec.Instances),
					MaxIdleConnsPerHost: max(1, s.Connections/f.Spec.Instances),
				}},
				slots: make(chan struct{}, max(1, s.Slots/f.Spec.Instances)),
			})
		}
		t.instances = append(t.instances, instance)
	}
	return t
}

// close closes the idle connections.
func (t *naiveTier) close() {
	for _, instance := range t.instances {
		for _, shard := range instance.shards {
			for _, target := range shard {
				target.client.CloseIdleConnections()
			}
		}
	}
}

// query sends a query through the next instance.
func (t *naiveTier) query(ctx context.Context, _ int) (bool, error) {
	instance := t.instances[t.next.Add(1)%uint64(len(t.instances))]
	return instance.query(ctx)
}

func (n *naiveInstance) query(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, n.deadline)
	defer cancel()
	sequence := n.sequence.Add(1)
	failures := make([]error, len(n.shards))
	var answers sync.WaitGroup
	for shard, replicas := range n.shards {
		answers.Go(func() {
			for attempt := range uint64(2) {
				target := replicas[(sequence+attempt)%uint64(len(replicas))]
				if failures[shard] = target.send(ctx, n.service, shard); failures[shard] == nil {
					return
				}
			}
		})
	}
	answers.Wait()
	err := errors.Join(failures...)
	return err == nil, err
}

func (t *naiveTarget) send(ctx context.Context, service string, shard int) error {
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	deadline, _ := ctx.Deadline()
	body, err := json.Marshal(map[string]any{
		"RequestId": uuid.NewString(), "Service": service, "Shard": shard, "Snapshot": 1, "Route": "Search",
		"DeadlineMs": time.Until(deadline).Milliseconds(), "Body": map[string]any{},
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
