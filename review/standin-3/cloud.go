//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// maintenance is maintenance_s: how long the upkeep of a machine takes.
const maintenance = 2 * time.Second

// machineService is the stand-in of the machine service. It lists the machines and carries out
// orders for their upkeep.
type machineService struct{ w *world }

// ServeHTTP implements http.Handler.
func (s machineService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/machines":
		s.list(rw)
	case "/-/machine-upkeep":
		var o struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		_ = json.NewDecoder(r.Body).Decode(&o)
		status, reason := s.upkeep(o.Machine, o.Wave)
		s.w.rec.note("upkeep machine=%s wave=%d holder=%s fence=%s status=%d %s", o.Machine, o.Wave, r.Header.Get("Holder"), r.Header.Get("Fence-Token"), status, reason)
		body := map[string]any{}
		if reason != "" {
			body["reason"] = reason
		}
		s.reply(rw, status, body)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (s machineService) reply(rw http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

func (s machineService) list(rw http.ResponseWriter) {
	s.w.mu.Lock()
	list := []any{}
	for _, m := range s.w.machines {
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 4 * m.cpu, "gpu": 0}, "id": ""}
		if m.current != nil {
			row["id"] = m.current.id
		}
		list = append(list, row)
	}
	s.w.mu.Unlock()
	s.reply(rw, http.StatusOK, map[string]any{"machines": list, "next_token": ""})
}

// upkeep begins the upkeep of a machine, unless it was done for this wave.
func (s machineService) upkeep(name string, wave int64) (status int, reason string) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	for _, m := range s.w.machines {
		if m.name != name {
			continue
		}
		if m.upkeeps[wave] {
			return http.StatusOK, ""
		}
		if m.state != "up" || m.current == nil {
			return http.StatusConflict, "busy"
		}
		m.upkeeps[wave] = true
		k := m.current
		k.crash()
		s.w.store.Remove("servers/" + k.id)
		m.current, m.state = nil, "upkeep"
		time.AfterFunc(maintenance, func() {
			s.w.mu.Lock()
			defer s.w.mu.Unlock()
			if !s.w.closed {
				s.w.startLife(m)
			}
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}
