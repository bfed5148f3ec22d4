package cellnode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
)

// dumpTimeout is the time to read the state of the core.
const dumpTimeout = 2 * time.Second

// stateDump is the JSON body of GET /state.
type stateDump struct {
	Node          string     `json:"node"`
	Owner         string     `json:"owner"`
	Epoch         int        `json:"epoch"`
	OwnsCell      bool       `json:"owns_cell"`
	Ready         bool       `json:"ready"`
	ConfigVersion int        `json:"config_version"`
	ConfigAgeMs   int64      `json:"config_age_ms"`
	StoreAgeMs    int64      `json:"store_age_ms"`
	Cell          *cell.Dump `json:"cell,omitempty"`
}

// serveState answers GET /state.
func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	view, _ := n.election.View()
	version, confirmedAt := n.admission.Version()
	dump := stateDump{
		Node: n.settings.Node, Owner: view.Address, Epoch: view.Epoch, OwnsCell: view.Self, Ready: n.isReady(),
		ConfigVersion: version, ConfigAgeMs: (n.clock.Boot() - confirmedAt).Milliseconds(),
		StoreAgeMs: (n.clock.Boot() - time.Duration(n.storeAnsweredAt.Load())).Milliseconds(),
	}
	if view.Self {
		ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
		defer cancel()
		dump.Cell = n.owner.Dump(ctx)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(&dump); err != nil {
		return // the client closed the connection
	}
}
