// Package explain serves and prints where a running process would route a request or an item
// now. It calls the functions of the decisions themselves and changes and sends nothing.
package explain

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"merlinhall/batch"
	"merlinhall/forward"
	"merlinhall/locality"
	"merlinhall/routes"
)

// Paths of the administration endpoint.
const (
	RoutePath = "/explain/route/" // followed by the name of a route
	FindPath  = "/explain/find"   // with the host and the path of a request as host and path
	ItemPath  = "/explain/item/"  // followed by the ids of a submission and an item
)

// Route says where a request by a route would be sent now.
type Route struct {
	Process  string                `json:"process"`
	Route    string                `json:"route"`
	Host     string                `json:"host"`
	Prefix   string                `json:"prefix"`
	Manifest uint64                `json:"manifest"`          // its version
	Chosen   string                `json:"chosen,omitempty"`  // service of the given request id
	Request  string                `json:"request,omitempty"` // the given id
	Services []forward.Explanation `json:"services"`
}

// Handler answers questions about routes and items. The parts of a process that it does not have
// are not set.
type Handler struct {
	Process   string
	Forwarder *forward.Forwarder
	Table     atomic.Pointer[func() *routes.Table]
	Runner    atomic.Pointer[batch.Runner]
}

// Attach registers the endpoint on mux.
func (h *Handler) Attach(mux *http.ServeMux) {
	mux.HandleFunc("GET "+RoutePath+"{route}", h.serveRoute)
	mux.HandleFunc("GET "+FindPath, h.serveFind)
	mux.HandleFunc("GET "+ItemPath+"{submission}/{item}", h.serveItem)
}

// table returns the routes in force, or answers the request and returns nil.
func (h *Handler) table(w http.ResponseWriter) *routes.Table {
	if f := h.Table.Load(); f != nil {
		if table := (*f)(); table != nil {
			return table
		}
	}
	writeProblem(w, http.StatusServiceUnavailable, "no manifest is known here")
	return nil
}

func (h *Handler) serveRoute(w http.ResponseWriter, r *http.Request) {
	table := h.table(w)
	if table == nil {
		return
	}
	name, m := r.PathValue("route"), table.Manifest()
	for i := range m.Routes {
		if route := &m.Routes[i]; route.Name == name {
			writeJSON(w, h.explainRoute(route, m.Version, r.URL.Query().Get("request")))
			return
		}
	}
	writeProblem(w, http.StatusNotFound, fmt.Sprintf("manifest %d has no route %q", m.Version, name))
}

func (h *Handler) serveFind(w http.ResponseWriter, r *http.Request) {
	table := h.table(w)
	if table == nil {
		return
	}
	q := r.URL.Query()
	route := table.Find(q.Get("host"), q.Get("path"))
	if route == nil {
		writeProblem(w, http.StatusNotFound, fmt.Sprintf("manifest %d has no route for host %q and path %q", table.Manifest().Version, q.Get("host"), q.Get("path")))
		return
	}
	writeJSON(w, h.explainRoute(route, table.Manifest().Version, q.Get("request")))
}

func (h *Handler) explainRoute(route *routes.Route, version uint64, request string) *Route {
	out := &Route{Process: h.Process, Route: route.Name, Host: route.Host, Prefix: route.Prefix, Manifest: version, Request: request}
	if request != "" {
		out.Chosen = route.Choose(request)
	}
	for _, s := range route.Shares {
		if s.Weight > 0 && (out.Chosen == "" || s.Service == out.Chosen) {
			e := h.Forwarder.Explain(time.Now(), s.Service)
			e.Weight = s.Weight
			out.Services = append(out.Services, e)
		}
	}
	return out
}

func (h *Handler) serveItem(w http.ResponseWriter, r *http.Request) {
	runner := h.Runner.Load()
	if runner == nil {
		writeProblem(w, http.StatusServiceUnavailable, "this is not a control process; ask the control leader")
		return
	}
	out, err := runner.ExplainItem(r.Context(), r.PathValue("submission"), r.PathValue("item"))
	switch {
	case errors.Is(err, batch.ErrUnknownItem):
		writeProblem(w, http.StatusNotFound, err.Error())
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
	default:
		writeJSON(w, out)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, status int, text string) {
	outcome := "unavailable"
	if status == http.StatusNotFound {
		outcome = "not_found"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"outcome": outcome, "error": text})
}

// Text returns the explanation as text.
func (r *Route) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "route %s (host %s, prefix %s) of manifest %d, at %s\n", r.Route, r.Host, r.Prefix, r.Manifest, r.Process)
	for i := range r.Services {
		s := &r.Services[i]
		fmt.Fprintf(&b, "service %s, weight %d, targets as of %s ago\n", s.Service, s.Weight, milliseconds(s.TargetsAgeMs))
		writeShares(&b, s.Locality)
		writeChoice(&b, s)
		for _, c := range s.Candidates {
			fmt.Fprintf(&b, "  %s\n", strings.Join([]string{
				c.Target, "zone " + c.Zone, "software " + c.Software, fmt.Sprintf("places %d", c.Places), fmt.Sprintf("outstanding %d", c.Outstanding),
				fmt.Sprintf("latency %.1fms", c.LatencyMs), speedText(c.Speed), fmt.Sprintf("cost %.4f", c.Cost), eligible(c.Reason),
			}, "  "))
		}
	}
	return b.String()
}

func speedText(speed float64) string {
	if speed == 0 {
		return "speed not used"
	}
	return fmt.Sprintf("speed %.2f", speed)
}

func eligible(reason string) string {
	if reason == "" {
		return "eligible"
	}
	return "not eligible: " + reason
}

func writeChoice(b *strings.Builder, s *forward.Explanation) {
	switch {
	case s.Target == "":
		b.WriteString("  no target\n")
	case s.NeedsGrant:
		fmt.Fprintf(b, "  goes to %s with a grant of the leader\n", s.Target)
	default:
		fmt.Fprintf(b, "  goes to %s\n", s.Target)
	}
}

func writeShares(b *strings.Builder, v *locality.View) {
	if v == nil {
		b.WriteString("  zones: fixed penalty for other zones\n")
		return
	}
	picked := "any zone"
	if v.Picked != "" {
		picked = "zone " + v.Picked
	}
	fmt.Fprintf(b, "  zones: %s; %.1f%% leaves zone %s%s; shares of %s", picked, 100*v.Leave, v.Zone, destinations(v.To), v.Source)
	if v.AgeMs >= 0 {
		fmt.Fprintf(b, ", version %d of term %d, %s old", v.Version, v.Term, milliseconds(v.AgeMs))
	}
	if v.Over {
		b.WriteString(", overloaded")
	}
	b.WriteString("\n")
	for _, in := range v.Inputs {
		fmt.Fprintf(b, "    zone %s: %.0f places, %.1f requests a second, run time %v, reports up to %v old\n", in.Zone, in.Places, in.Arrivals, in.RunTime.Round(time.Millisecond/10), in.Age.Round(time.Millisecond))
	}
}

func destinations(to []locality.Share) string {
	var parts []string
	for _, s := range to {
		parts = append(parts, fmt.Sprintf("%.0f%% to %s", 100*s.Part, s.Zone))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// ItemText returns the explanation of an item as text.
func ItemText(e *batch.ItemExplanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "item %s of submission %s, model %s, at %s in term %d\n", e.Item, e.Submission, e.Model, e.Process, e.Term)
	fmt.Fprintf(&b, "  %s", e.State)
	if e.RunsOn != "" {
		fmt.Fprintf(&b, " on %s", e.RunsOn)
	}
	if e.Position >= 0 {
		fmt.Fprintf(&b, ", position %d of the queue", e.Position)
	}
	fmt.Fprintf(&b, "; %d free slots; targets as of %s ago\n", e.FreeSlots, milliseconds(e.TargetsAgeMs))
	if e.Engine == "" {
		fmt.Fprintf(&b, "  would wait: %s\n", e.Why)
	} else {
		fmt.Fprintf(&b, "  would go to engine %s (%s), read by carrier %s of zone %s\n", e.Engine, e.Why, e.Carrier, e.Zone)
	}
	if e.PlanAgeMs >= 0 {
		fmt.Fprintf(&b, "  zones: %.1f%% of the runs on its zone are read elsewhere%s; shares %s old\n", 100*e.Leave, destinations(e.To), milliseconds(e.PlanAgeMs))
	}
	for _, c := range e.Candidates {
		versions := fmt.Sprintf("versions %v", c.Versions)
		if c.VersionsAgeMs >= 0 {
			versions += " " + milliseconds(c.VersionsAgeMs) + " old"
		}
		fmt.Fprintf(&b, "  %s\n", strings.Join([]string{
			c.Engine, "zone " + c.Zone, "software " + c.Software, fmt.Sprintf("slots %d", c.Slots), fmt.Sprintf("running %d", c.Running), versions, eligible(c.Reason),
		}, "  "))
	}
	return b.String()
}

func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
