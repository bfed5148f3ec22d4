package standin

import (
	"net/http"

	"github.com/endivehill/endivehill/internal/platform"
)

// highestEpochs holds the highest epoch seen of each partition. Callers must
// serialize access.
type highestEpochs map[string]int

// accept returns false if an epoch is lower than the highest one seen. Otherwise it
// stores the epoch.
func (e highestEpochs) accept(partition string, epoch int) bool {
	if epoch < e[partition] {
		return false
	}
	e[partition] = epoch
	return true
}

// writeRefusal answers a refused call with the reason.
func writeRefusal(w http.ResponseWriter, refused string) {
	status := map[string]int{
		platform.RefusedFenced:   http.StatusPreconditionFailed,
		platform.RefusedDraining: http.StatusServiceUnavailable,
		platform.RefusedWrongVM:  http.StatusMisdirectedRequest,
	}[refused]
	w.Header().Set(platform.HeaderRefused, refused)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// refuseOtherVM refuses a call that is meant for another VM, and reports whether
// it did.
func refuseOtherVM(w http.ResponseWriter, r *http.Request, vm string) bool {
	if r.Header.Get(platform.HeaderVM) == vm {
		return false
	}
	writeRefusal(w, platform.RefusedWrongVM)
	return true
}
