package quarantine

import "net/http"

// LiftPath is the path of administration requests that let a request through again; the short
// form of its key follows.
const LiftPath = "/suspects/lift/"

// Attach adds the handler of LiftPath to the administration paths of a process.
func (k *Keeper) Attach(mux *http.ServeMux) {
	mux.HandleFunc("POST "+LiftPath+"{key}", func(w http.ResponseWriter, r *http.Request) {
		if !k.Lift(r.PathValue("key")) {
			http.Error(w, "no request with this key is known here", http.StatusNotFound)
		}
	})
}
