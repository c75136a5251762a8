package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

func init() {
	cases["weights"] = weights
	cases["moved"] = moved
}

// otherService has replicas of the same model as engineService.
const otherService = "policy-lm-2"

// configTime is configMs.
const configTime = 2 * time.Second

// weights puts a manifest that names another service of replicas beside that of the batch
// route, with weight 0, and looks for items at it. No manifest ever allows it. Without the
// trouble the route stays as it is, and there is no other service.
func weights(c *cluster, trouble bool) ([]string, error) {
	others, err := c.deployOther(trouble, []any{
		map[string]any{"service": engineService, "weight": 100},
		map[string]any{"service": otherService, "weight": 0},
	})
	if err != nil {
		return nil, err
	}
	id, _, err := c.step()
	if err != nil {
		return nil, err
	}
	right, other := c.runsAt(c.platform.engines), c.runsAt(others)
	if right+other == 0 {
		return nil, fmt.Errorf("%w: no item ran", errNotRun)
	}
	if other > 0 {
		return []string{fmt.Sprintf("%d of %d runs of items of %s were at %s, to which no manifest ever sent allows them to go", other, right+other, id, otherService)}, nil
	}
	return nil, nil
}

// moved moves the batch route to another service of replicas, and looks for items of a later
// batch submission that are at no replica as the step runs out of time. Without the trouble the
// route stays where it is, and there is no other service.
func moved(c *cluster, trouble bool) ([]string, error) {
	others, err := c.deployOther(trouble, []any{map[string]any{"service": otherService, "weight": 100}})
	if err != nil {
		return nil, err
	}
	id, results, err := c.step()
	if err != nil {
		return nil, err
	}
	began := make(map[string]bool)
	for _, e := range slices.Concat(c.platform.engines, others) {
		e.mu.Lock()
		for _, item := range e.ran {
			began[item] = true
		}
		e.mu.Unlock()
	}
	c.runsAt(c.platform.engines)
	c.runsAt(others)
	never := 0
	for i := range stepItems {
		if !began[fmt.Sprintf("%s-%d", id, i)] {
			never++
		}
	}
	c.rec.printf("%s: %d of %d results are listed, %d items have begun, %d never", id, results, stepItems, stepItems-never, never)
	if never > 0 && never < stepItems {
		return []string{fmt.Sprintf("the step ran out of time (%v) with %d of %d items of %s that had been at no replica at all; the others had begun, the replicas were idle, and no version was named", stepTime, never, stepItems, id)}, nil
	}
	if never == stepItems {
		return nil, fmt.Errorf("%w: no item ran", errNotRun)
	}
	return nil, nil
}

const (
	stepItems = 16
	// stepTime is the time limit of a step at its trainer.
	stepTime = 12 * time.Second
)

// deployOther starts the system and, with trouble, replicas of another service of the same
// model, and puts a manifest by which the batch route goes to the services of split. It returns
// later than configMs after the confirmation.
func (c *cluster) deployOther(trouble bool, split []any) (others []*engine, err error) {
	if err := c.deploy(3, 2); err != nil {
		return nil, err
	}
	if !trouble {
		split = []any{map[string]any{"service": engineService, "weight": 100}}
	}
	for i := range 3 {
		if !trouble {
			break
		}
		e := &engine{id: fmt.Sprint("i-o", i), service: otherService, version: 1, born: time.Now().UnixMilli()}
		if e.address, err = c.platform.listen(e); err != nil {
			return nil, err
		}
		others = append(others, e)
	}
	c.platform.setFurther(func() (list []any) {
		for _, e := range others {
			list = append(list, e.entry())
		}
		return list
	})
	time.Sleep(2 * time.Second)
	if !c.putManifest(2, splitManifest(2, split), 5*time.Second) {
		return nil, fmt.Errorf("%w: the manifest was not acknowledged", errNotRun)
	}
	c.rec.printf("manifest 2: the batch route goes to %v", split)
	time.Sleep(configTime + 3*time.Second)
	return others, nil
}

// step sends a batch submission and reads it until all is listed or its time has passed.
func (c *cluster) step() (id string, results int, err error) {
	id = fmt.Sprintf("lot%x", time.Now().UnixNano())
	if !c.submit(id, submission(id, stepItems, 20), 5*time.Second) {
		return id, 0, fmt.Errorf("%w: the batch submission was not accepted", errNotRun)
	}
	return id, c.readAll(id, stepItems, stepTime), nil
}

// runsAt records the items that engines have begun, and returns the number of runs.
func (c *cluster) runsAt(engines []*engine) (runs int) {
	for _, e := range engines {
		e.mu.Lock()
		c.rec.printf("%s of %s ran %v", e.id, e.service, e.ran)
		runs += len(e.ran)
		e.mu.Unlock()
	}
	return runs
}

// splitManifest is manifest with the batch route split over services.
func splitManifest(version int, split []any) []byte {
	var m map[string]any
	_ = json.Unmarshal(manifest(version), &m)
	batch := m["routes"].([]any)[0].(map[string]any)
	delete(batch, "service")
	batch["trafficSplit"] = split
	services := m["services"].([]any)
	other := make(map[string]any)
	for k, v := range services[0].(map[string]any) {
		other[k] = v
	}
	other["name"] = otherService
	m["services"] = append(services, other)
	b, _ := json.Marshal(m)
	return b
}
