package standin

import (
	"net/http"

	"github.com/endivehill/endivehill/internal/platform"
)

// fence holds the highest epoch seen of each partition. Its user guards it.
type fence map[string]int

// pass takes an epoch into account and reports whether it is not outdated.
func (f fence) pass(partition string, epoch int) bool {
	if epoch < f[partition] {
		return false
	}
	f[partition] = epoch
	return true
}

// refuseCall answers that the call was not taken.
func refuseCall(w http.ResponseWriter, refused string) {
	status := map[string]int{
		platform.RefusedFenced:   http.StatusPreconditionFailed,
		platform.RefusedDraining: http.StatusServiceUnavailable,
		platform.RefusedWrongVM:  http.StatusMisdirectedRequest,
	}[refused]
	w.Header().Set(platform.HeaderRefused, refused)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// forOtherVM refuses a call that names another VM.
func forOtherVM(w http.ResponseWriter, r *http.Request, vm string) bool {
	if r.Header.Get(platform.HeaderVM) == vm {
		return false
	}
	refuseCall(w, platform.RefusedWrongVM)
	return true
}
