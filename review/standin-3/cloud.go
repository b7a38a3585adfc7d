//go:build review3

package main

import (
	"encoding/json"
	"net/http"
)

// machineService is the stand-in of the machine service: it lists the machines.
type machineService struct{ w *world }

// ServeHTTP implements http.Handler.
func (c machineService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	c.w.mu.Lock()
	list := []any{}
	for _, m := range c.w.machines {
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 4 * m.cpu, "gpu": 0}, "id": ""}
		if m.current != nil {
			row["id"] = m.current.id
		}
		list = append(list, row)
	}
	c.w.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"machines": list, "next_token": ""})
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(raw)
}
